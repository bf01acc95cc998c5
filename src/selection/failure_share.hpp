/** A share of failures that follows the latest results and fades without any. Pure. */
#pragma once

#include <cmath>

#include "protocol/time_types.hpp"

namespace anisehold::selection
{

/** The share, from 0 to 1, as of `updated`. */
struct FailureShare
{
    double share = 0;
    TimePoint updated;
};

/** Failures fade to half in this time without a new result, in seconds. Mean worth of 15 days 0.528 with 1.5,
    0.525 with 2 (docs/design/overload.md, round "fade"). */
inline constexpr double failureHalfLifeS = 1.5;

/** The share as of `now`. */
inline double currentShare (const FailureShare& failures, TimePoint now)
{
    const std::chrono::duration<double> age = now - failures.updated;
    return failures.share * std::exp2 (-age.count() / failureHalfLifeS);
}

/** Takes in one result; `weight`, from 0 to 1, says how much it counts. */
inline void recordResult (FailureShare& failures, TimePoint now, bool failed, double weight)
{
    const double before = currentShare (failures, now);
    failures.share = before + weight * ((failed ? 1.0 : 0.0) - before);
    failures.updated = now;
}

} // namespace anisehold::selection
