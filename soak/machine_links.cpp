#include "soak/machine_links.hpp"

#include "net/event_loop.hpp"
#include "tests/support/fleet.hpp"

namespace anisehold::soak
{

std::optional<MachineLinkSet> startMachineLinks (testing::SidecarFleet& fleet, std::size_t machine)
{
    auto& io = testing::Fleet::loop().io();
    const auto& at = fleet.machine (machine).links;
    MachineLinkSet set;
    set.store = std::make_unique<StreamLink> (io, fleet.store_endpoint());
    set.server = std::make_unique<StreamLink> (io, at.server);
    set.hops = std::make_unique<StreamLink> (io, at.hops);
    set.gossip = std::make_unique<DatagramLink> (io, at.gossip);

    if (set.store->start (at.store_link) || set.server->start (at.server_link) ||
        set.hops->start (at.hops_link) || set.gossip->start (at.gossip_link))
        return std::nullopt;

    return set;
}

} // namespace anisehold::soak
