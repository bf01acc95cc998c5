/** Early rejection of client requests while a service that they reach, at any depth, lacks capacity.

    A request whose calls are refused downstream has cost work without a result, so the fleet limits the
    requests that it admits at the edge. Each daemon counts the results of its calls to each service and
    reports the counts to its peers (pressure_report). All daemons sum the counts of the last period, so that
    the limit depends on the calls of the whole fleet and not on a few of one daemon. The sums and the
    service's utilization determine the admitted share of the volume (admitted_share) of the rows that reach
    the service (row_reach). capacity_share divides that share among the rows, and each daemon stabilizes the
    number of its requests in flight per row (rows_under_way).

    Owns RootLimitState. Relies on peers' reports and on utilizations from the caller. Plain state and free
    functions. Pure.
*/
#pragma once

#include <map>
#include <string>
#include <vector>

#include "overload/admitted_share.hpp"
#include "overload/capacity_limit.hpp"
#include "overload/pressure_report.hpp"
#include "overload/root_limit_state.hpp"
#include "overload/row_reach.hpp"
#include "overload/rows_under_way.hpp"
#include "overload/utilization.hpp"

namespace anisehold::overload
{

/** A change of an admitted share at the end of a period, with its inputs. */
struct AdmittedShareChange
{
    std::string service;
    double from = 1;
    double to = 1;
    std::uint64_t ended = 0;                 /**< Finished calls of the whole fleet in the period. */
    std::uint64_t refused = 0;               /**< Refused calls among `ended`. */
    std::size_t daemons = 0;                 /**< Daemons with a recent report. */
    double utilization = 0;                  /**< Utilization of the service. */
    std::map<std::string, double> rowShares; /**< Admitted share of each row that reaches the service. */
};

/** Ends a period and updates the admitted shares from the fleet's counts; called once between two reports
    of this daemon. */
std::vector<AdmittedShareChange> endPeriod (RootLimitState&, TimePoint now, const Utilizations&);

/** Whether an admitted share is below 1, a service declines a share of its arrivals, or calls were recently
    refused; reports should then be more
    frequent. The first refusal has this effect at once, so that the limit responds to a sudden overload
    within the shorter period. */
bool isUnderPressure (const RootLimitState&);

/** Puts a limit of a service in force, in place of the one of the same resource. It applies to the rows among
    its demands, in addition to all other limits. */
void setCapacityLimit (RootLimitState&, const std::string& service, const CapacityLimit&);

/** Lifts the limit of a service by this resource. */
void clearCapacityLimit (RootLimitState&, const std::string& service, const std::string& resource);

/** Returns the admitted share of a row, from 0 to 1, before `correctedShare` stabilizes it. */
double admittedShareOf (const RootLimitState&, const RootRow&);

/** Returns the share with which this daemon admits the next request of a row whose admitted share is given:
    corrected by the number of its requests in flight. */
double stabilizedShare (const RootLimitState&, const std::string& row, double admittedShare);

/** Returns the share of new requests of a row that are currently rejected, from 0 to 1. */
double refusedShare (const RootLimitState&, const RootRow&);

} // namespace anisehold::overload
