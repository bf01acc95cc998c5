/** Who gets the room of a service that can't take all: how much of each row is let in.

    By rank first. But a rank that can't be served whole doesn't take all the room: a part of it is kept for
   the ranks below, which would else be refused whole for as long as the shortage lasts. Within a rank each
   row gets an equal amount of room at most, so that rows that need little are served whole (max-min
   fairness). Room is counted in work, not in requests, since a request of one row may make eight calls and
   that of another one.

    Pure.
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

/** The share of each demand that is let in, from 0 to 1, in the order of the demands. `room` is in their
 * unit. */
std::vector<double> shareCapacity (const std::vector<RowDemand>& demands, double capacity);

} // namespace anisehold::overload
