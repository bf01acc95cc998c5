/** Chooses the Retry-After of an early refusal in the interest of the caller.

    Addresses bursts of some seconds, after which capacity is free again. A caller that comes back with less
    time than any fresh request has is recognized and takes precedence. So it is told to wait until then, if a
    return at that time can still be served within the target latency of its route, and at a time that is
    spread over the time that remains, in the order in which the callers can be admitted.
    Callers honor a Retry-After up to a third of their remaining time. Where there is no such time, the
    Retry-After is the usual one. A caller whose return couldn't be served before its deadline is told no
   early time: its request has no further chance. A later time is never told in order to keep a caller away.

    Owns ReturnTimes. State: two numbers for each of at most `maxRows` rows; no messages. Pure.
*/
#pragma once

#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::returning
{

/** Admissions of a row and the callers that were told to come back. */
struct RowReturns
{
    double admitted = 0; /**< Decayed number of admitted requests. */
    TimePoint updated;
    TimePoint bookedUntil; /**< Time until which the callers that were told take the row's capacity. */
};

/** The returns to expect, by row. */
struct ReturnTimes
{
    std::map<std::string, RowReturns> rows;
};

/** A refused request. */
struct RefusedRequest
{
    milliseconds timeLeft{ 0 };
    milliseconds smallestFresh{ 0 }; /**< Time left below which a request isn't fresh; 0 if unknown. */
    milliseconds targetLatency{ 0 };
    Duration meanTime{}; /**< Mean duration of the row's admitted requests; 0 if unknown. */
    bool isReturning = false;
    milliseconds usual{ 0 };    /**< The usual Retry-After, which is spread over the callers. */
    milliseconds earliest{ 0 }; /**< Minimum of the usual Retry-After. */
    double random = 0;          /**< From 0 to 1. */
};

/** Records a request of the row that was admitted. */
void recordAdmitted (ReturnTimes&, TimePoint now, const std::string& row);

/** Returns the Retry-After of a refused request, and books its return. */
milliseconds chooseReturnTime (ReturnTimes&, TimePoint now, const std::string& row, const RefusedRequest&);

inline constexpr std::size_t maxReturnRows = 64;

} // namespace anisehold::returning
