/** Bounds the lines of ordinary successes, so that those of failures stay affordable under load. The state is
   the caller's. Pure.
*/
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "protocol/time_types.hpp"

namespace anisehold::logging
{

/** A token bucket of lines. The rate and the size are chosen, not measured. */
struct LineBudget
{
    double perSecond = 200;
    double most = 400; /**< Tokens that are saved up in quiet times. */
    double tokens = 400;
    TimePoint updated;
    std::uint64_t skipped = 0; /**< Lines that were not written since `takeSkipped`. */
    TimePoint reported;        /**< When skipped lines were last taken. */
};

/** Least time between two reports of skipped lines. Without it such reports were 126 of 433 lines of the
   busiest of 15 processes, at the cost of the failures' lines. */
inline constexpr seconds leastSkippedGap{ 1 };

/** Takes one line's token; false, and one more skipped line, if there is none. */
inline bool takeLine (LineBudget& budget, TimePoint now)
{
    const std::chrono::duration<double> passed = now - budget.updated;
    budget.updated = now;
    budget.tokens = std::min (budget.most, budget.tokens + budget.perSecond * std::max (0.0, passed.count()));

    if (budget.tokens < 1)
    {
        ++budget.skipped;
        return false;
    }

    budget.tokens -= 1;
    return true;
}

/** Number of lines skipped since the last report; 0 if that is less than `leastSkippedGap` ago. */
inline std::uint64_t takeSkipped (LineBudget& budget, TimePoint now)
{
    if (budget.skipped == 0 || now - budget.reported < leastSkippedGap)
        return 0;

    budget.reported = now;
    return std::exchange (budget.skipped, 0);
}

} // namespace anisehold::logging
