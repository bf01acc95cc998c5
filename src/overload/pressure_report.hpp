/** The counts of calls and refusals that daemons report to each other, and their sum over the fleet.

    Owns the counts, reports and works of ServiceState. Relies on peers that report once a period
    (sidecar/peer_exchange). Pure.
*/
#pragma once

#include <string>
#include <vector>

#include "overload/root_limit_state.hpp"

namespace anisehold::overload
{

/** A call of this daemon to `service` ended. `refused`: all servers that were tried had no capacity. */
void recordCallEnded (RootLimitState&, const std::string& service, bool refused);

/** What the requests of the rows that run at this daemon's server bring to `service`, as measured here. */
void setOwnRowWork (RootLimitState&, const std::string& service, std::vector<RowWork>);

/** Work that one request of `row` brings to `service`, in ms of its slots; 0 if it isn't known. */
double knownRowWork (const RootLimitState&, const std::string& service, const std::string& row);

/** A peer's report came. */
void recordPeerReport (RootLimitState&, TimePoint now, const std::string& peer,
                       const std::vector<ServicePressure>&);

/** What this daemon reports: services that some row is known to reach, that refused calls lately, or of
    whose volume a part is refused. */
std::vector<ServicePressure> ownReport (const RootLimitState&);

/** The fleet's counts of one service in a period. */
struct FleetCounts
{
    double ended = 0;
    double refused = 0;
    double meanAdmittedShare = 1; /**< Of the daemons. */
    std::size_t daemons = 0;      /**< Whose reports were recent enough. */
};

/** Takes this daemon's own counts up to `now` for a report, and sums all recent ones. `name`: the
    service's. */
FleetCounts sumFleetCounts (const RootLimitState&, TimePoint now, const std::string& name, ServiceState&);

} // namespace anisehold::overload
