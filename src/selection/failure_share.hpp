/** Moving share of failed results. Each result is weighted in, and the share decays exponentially without
    new results. Pure. */
#pragma once

#include "protocol/half_life.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::selection
{

/** A share from 0 to 1 as of `updated`. */
struct FailureShare
{
    double share = 0;
    TimePoint updated;
};

/** Half-life of the share of failures without a new result, in seconds. The mean score of 15 days was
    0.528 with 1.5 s and 0.525 with 2 s. */
inline constexpr double failureHalfLifeS = 1.5;

/** Returns the share decayed to `now`. */
inline double currentShare (const FailureShare& failures, TimePoint now)
{
    return failures.share * kept_part (now - failures.updated, failureHalfLifeS);
}

/** Adds one result with the given weight, from 0 to 1. */
inline void recordResult (FailureShare& failures, TimePoint now, bool failed, double weight)
{
    const double before = currentShare (failures, now);
    failures.share = before + weight * ((failed ? 1.0 : 0.0) - before);
    failures.updated = now;
}

} // namespace anisehold::selection
