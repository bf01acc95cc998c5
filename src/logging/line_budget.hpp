/** Bounds the lines of ordinary successes, so that those of failures stay affordable under load. Pure. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "protocol/time_types.hpp"

namespace anisehold::logging
{

/** A token bucket of lines. */
struct LineBudget
{
    double perSecond = 200;
    double most = 400; /**< Tokens that pile up in quiet times. */
    double tokens = 400;
    TimePoint updated;
    std::uint64_t skipped = 0; /**< Lines that were not written since `takeSkipped`. */
    TimePoint told;            /**< When skipped lines were last taken. */
};

/** Least time between two tellings of skipped lines. Told with each line that was written again, they were
   126 of 433 lines of the busiest of 15 processes, and used up the room of the failures' lines. */
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

/** Number of lines skipped since it last told of any; 0 if that is less than `leastSkippedGap` ago. */
inline std::uint64_t takeSkipped (LineBudget& budget, TimePoint now)
{
    if (budget.skipped == 0 || now - budget.told < leastSkippedGap)
        return 0;

    budget.told = now;
    return std::exchange (budget.skipped, 0);
}

} // namespace anisehold::logging
