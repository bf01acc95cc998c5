/// @file
/// Keeps the capacity forecast (overload/capacity_forecast) up to date. Owns which zones count as cut off.
/// Relies on the peer directory and the gate for servers, and on its user to report the records of peers.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "membership/peer_directory.hpp"
#include "overload/zone_contact.hpp"
#include "sidecar/local_gate.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Updates the forecast several times a second, and logs its changes. Does nothing where the mechanism is
/// off.
class ForecastUpdater {
  public:
    ForecastUpdater(SidecarContext& context, membership::PeerDirectory& directory, LocalGate& gate)
        : context_(context), directory_(directory), gate_(gate) {}

    void start();
    /// Handles a new record of a peer.
    void on_record(TimePoint now, const membership::PeerRecord& record);

  private:
    bool is_on() const { return context_.has(config::Mechanism::kCapacityForecast); }
    void run();
    void update(TimePoint now);
    /// The servers that this daemon knows, and whether it can reach them. Excludes the demand of peers that
    /// it can't reach from the forecast.
    std::vector<overload::ServerSupply> server_supplies(TimePoint now);
    /// Zones of which no daemon has been heard for too long; logs the changes.
    const std::set<std::string>& update_cut_zones(TimePoint now);
    void update_metrics();

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    LocalGate& gate_;
    overload::ZoneContacts zone_contacts_;
    std::set<std::string> cut_zones_;
    std::set<std::string> services_;  ///< Services whose metrics have been set.
};

}  // namespace anisehold::sidecar
