/** Early refusal of clients' requests while a service that they reach, at any depth, lacks capacity.

    A request whose calls are refused further down has cost work and gives nothing. So the fleet limits what
    it admits at the edge. Each daemon counts how its calls to each service end, and reports that to its peers
    (pressure_report); all sum the counts of the last period, so that the verdict rests on the whole fleet's
    calls and not on a few of one daemon. From the sum and the service's utilization follows the share of the
    volume that is admitted (admitted_share), for the rows that reach the service (row_reach); which of them
    get it is decided by capacity_share, and each daemon keeps what it has under way of a row steady
    (rows_under_way).

    Owns RootLimitState. Relies on peers' reports and on utilizations that the caller brings. Plain state and
    free functions over it. Pure.
*/
#pragma once

#include <map>
#include <string>
#include <vector>

#include "overload/admitted_share.hpp"
#include "overload/pressure_report.hpp"
#include "overload/root_limit_state.hpp"
#include "overload/row_reach.hpp"
#include "overload/rows_under_way.hpp"
#include "overload/utilization.hpp"

namespace anisehold::overload
{

/** An admitted share that a period's end moved, and what decided it. */
struct AdmittedShareChange
{
    std::string service;
    double from = 1;
    double to = 1;
    std::uint64_t ended = 0;                 /**< Calls of the whole fleet in the period. */
    std::uint64_t refused = 0;               /**< Of those, refused. */
    std::size_t daemons = 0;                 /**< Whose reports were recent enough. */
    double utilization = 0;                  /**< Of the service. */
    std::map<std::string, double> rowShares; /**< Share admitted of each row that reaches the service. */
};

/** Ends a period, once between two reports of this daemon: moves the shares by the fleet's counts. */
std::vector<AdmittedShareChange> endPeriod (RootLimitState&, TimePoint now, const Utilizations&);

/** Whether a share isn't whole, or calls were refused lately: reports should come more often then. The
    first refusal brings it about at once, so that an overload that comes suddenly is met within the
    shorter period. */
bool isUnderPressure (const RootLimitState&);

/** Share of new requests of a row that are refused now, from 0 to 1. */
double refusedShare (const RootLimitState&, const RootRow&);

} // namespace anisehold::overload
