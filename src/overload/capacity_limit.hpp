/** A limit by one scarce resource of a service, for example its slot time or its retry budget: what the
    requests of each row need of it, and how much there is.

    Several limits can apply to a service; the admitted share of a row is the minimum over them
    (root_limit.hpp). Higher priorities are served first. Within a priority the rows that need the least per
    request come first, so that the most requests complete (one row of a recorded deployment needs 31 ms of
    the last service, another 152 ms); each row keeps a floor, so that none is rejected completely while the
    priorities above it leave capacity. Owns no state. Pure.
*/
#pragma once

#include <map>
#include <string>
#include <vector>

namespace anisehold::overload
{

/** The demand of one row for the resource. */
struct LimitedRow
{
    std::string row;
    unsigned priority = 0; /**< 0 is the most important. */
    double perSecond = 0;  /**< Requests offered per second, fleet-wide. */
    double perRequest = 0; /**< Units of the resource that one request needs. */
};

/** Demand for a scarce resource, and its capacity in the same unit, per second. */
struct CapacityLimit
{
    std::string resource; /**< Identifies the limit among those of a service. */
    std::vector<LimitedRow> demands;
    double capacity = 0;
};

/** Admitted share of each row, from 0 to 1. */
using RowShares = std::map<std::string, double>;

/** Part of each row's demand that is admitted before the rest of its priority is divided. */
inline constexpr double rowFloor = 0.1;

/** Returns the total demand, in units per second. */
double demandOf (const CapacityLimit&);

/** Returns the admitted share of each row of the limit. */
RowShares sharesWithin (const CapacityLimit&);

} // namespace anisehold::overload
