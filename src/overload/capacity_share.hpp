/** Divides the capacity of an overloaded service among rows: how much of each row is admitted.

    Higher priorities come first. But a priority that can't be served completely doesn't get all the capacity:
    a part is reserved for the lower priorities, which would otherwise be rejected completely for as long as
    the shortage lasts. Within a priority the capacity is divided by max-min fairness, so that rows with small
    demands are served completely. Capacity is counted in work, not in requests, because a request of one row
    may make eight calls and a request of another row one. Owns no state. Pure.
*/
#pragma once

#include <string_view>
#include <vector>

namespace anisehold::overload
{

/** Work that a row's requests would bring to the service in a period, in any unit. */
struct RowDemand
{
    std::string_view row;
    unsigned priority = 0; /**< 0 is the most important. */
    double work = 0;
};

/** Returns the admitted share of each demand, from 0 to 1, in the order of the demands. `capacity` has the
    unit of the demands. */
std::vector<double> shareCapacity (const std::vector<RowDemand>& demands, double capacity);

} // namespace anisehold::overload
