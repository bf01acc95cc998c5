/** Counts of calls and refusals that daemons report to each other, and their sums over the fleet.

    Owns the counts, reports and work of ServiceState. Relies on peers that report once per period
    (sidecar/peer_exchange). Pure.
*/
#pragma once

#include <string>
#include <vector>

#include "overload/root_limit_state.hpp"

namespace anisehold::overload
{

/** Records the end of a call of this daemon to `service`. `refused`: all servers that were tried had no
    capacity. */
void recordCallEnded (RootLimitState&, const std::string& service, bool refused);

/** Sets the work that requests of the local server's rows bring to `service`, as measured by this daemon. */
void setOwnRowWork (RootLimitState&, const std::string& service, std::vector<RowWork>);

/** Returns the work that one request of `row` brings to `service`, in ms of slot time; 0 if unknown. */
double knownRowWork (const RootLimitState&, const std::string& service, const std::string& row);

/** Records a peer's report. */
void recordPeerReport (RootLimitState&, TimePoint now, const std::string& peer,
                       const std::vector<ServicePressure>&);

/** Returns this daemon's report: services that some row is known to reach, that recently refused calls, that
    decline a share of their arrivals, or whose admitted share is below 1. */
std::vector<ServicePressure> ownReport (const RootLimitState&);

/** The fleet's counts for one service in a period. */
struct FleetCounts
{
    double ended = 0;
    double refused = 0;
    double meanAdmittedShare = 1; /**< Mean over the daemons' admitted shares. */
    std::size_t daemons = 0;      /**< Daemons with a recent report. */
};

/** Stores this daemon's own counts up to `now` as its report, and sums all recent reports on service
    `name`. */
FleetCounts sumFleetCounts (const RootLimitState&, TimePoint now, const std::string& name, ServiceState&);

} // namespace anisehold::overload
