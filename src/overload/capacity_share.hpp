/** Who gets the capacity of a service that can't take all: how much of each row is admitted.

    By priority first. But a priority that can't be served whole doesn't take all the capacity: a part of it
    is kept for those below, which would else be refused whole for as long as the shortage lasts. Within a
    priority each row gets an equal amount at most, so that rows that need little are served whole (max-min
    fairness). Capacity is counted in work, not in requests, since a request of one row may make eight calls
    and that of another one. Pure.
*/
#pragma once

#include <string_view>
#include <vector>

namespace anisehold::overload
{

/** Work that a row's requests would bring to the service in some time, in any unit. */
struct RowDemand
{
    std::string_view row;
    unsigned priority = 0; /**< 0 is the most important. */
    double work = 0;
};

/** The share of each demand that is admitted, from 0 to 1, in the order of the demands. `capacity` is in
    their unit. */
std::vector<double> shareCapacity (const std::vector<RowDemand>& demands, double capacity);

} // namespace anisehold::overload
