/** The forwarders between one machine of a sidecar fleet and everything that it speaks with. */
#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "soak/link.hpp"
#include "tests/support/sidecar_fleet.hpp"

namespace anisehold::soak
{

/** The links of one machine. */
struct MachineLinkSet
{
    std::unique_ptr<StreamLink> store;
    std::unique_ptr<StreamLink> server;
    std::unique_ptr<StreamLink> hops;
    std::unique_ptr<DatagramLink> gossip;
};

/** Starts the links of a machine whose plan asks for forwarders; call before the fleet starts. Returns
   nothing if an address can't be bound. */
std::optional<MachineLinkSet> startMachineLinks (testing::SidecarFleet&, std::size_t machine);

} // namespace anisehold::soak
