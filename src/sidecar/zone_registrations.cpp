#include "sidecar/zone_registrations.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <set>
#include <vector>

#include "observability/events.hpp"
#include "sidecar/member_listing.hpp"
#include "sidecar/store_call.hpp"

namespace anisehold::sidecar {

using observability::Event;
using observability::log_event;

void ZoneRegistrations::run() {
    while (!context_.stop.has_begun()) {
        const auto members = static_cast<long long>(directory_.known_count());
        boost::this_fiber::sleep_for(discovery::listingPeriod + members * discovery::listingPeriodPerMember);
        if (context_.store.is_appointed() && context_.store.watches()) {
            restore_missing();
        }
    }
}

void ZoneRegistrations::restore_missing() {
    const auto members = list_members(context_, link_, crashes_, store::ReadMode::kMayBeStale);
    if (!members) {
        return;
    }
    std::set<std::string> listed;
    for (const auto& item : *members) {
        listed.insert(item.key);
    }
    const auto addresses = expected_addresses();
    std::vector<std::string> expected;
    expected.reserve(addresses.size());
    for (const auto& [key, address] : addresses) {
        expected.push_back(key);
    }
    std::vector<store::StoreItem> missing;
    for (const auto& key : discovery::findMissing(missing_, listed, expected)) {
        missing.push_back({key, addresses.at(key)});
    }
    // Items beyond the limit are found missing again at the next listing.
    missing.resize(std::min(missing.size(), store::kMaxItemsPerWrite));
    if (missing.empty()) {
        return;
    }
    const auto written = link_.store().write(missing, store_call_deadline());
    log_event(Event::kRegistrationsRestored,
              {{"count", std::to_string(missing.size())},
               {"first", missing.front().key},
               {"outcome", std::string(store::call_outcome_name(written.outcome))}});
}

std::map<std::string, std::string> ZoneRegistrations::expected_addresses() {
    std::map<std::string, std::string> addresses{
        {member_key(context_.settings.name), context_.settings.advertised_gossip.text()}};
    for (const auto& peer : directory_.reachable_in_local_zone(TimePoint::clock::now())) {
        addresses[member_key(peer.name)] = peer.gossip.text();
    }
    return addresses;
}

}  // namespace anisehold::sidecar
