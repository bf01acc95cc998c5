/** The mean of a number that changes at any moment, weighted by time; older time counts less.

    A gate keeps one of its requests in flight; the utilization of a service is made of these. Relies on the
    time types only. Pure.
*/
#pragma once

#include <cmath>

#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** The present value and the faded mean of those before, in the value's unit. */
struct TimeWeightedMean
{
    double mean = 0; /**< As of `updated`. */
    unsigned value = 0;
    TimePoint updated;
};

/** Time after which a past value counts half, in seconds. Below the limit's period under pressure (0.4 s),
    so that a period's mean is mostly its own. Chosen, not measured. */
inline constexpr double meanHalfLifeS = 0.25;

/** The mean as of `now`. */
inline double currentMean (const TimeWeightedMean& state, TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - state.updated;
    const double kept = std::exp2 (-elapsed.count() / meanHalfLifeS);
    return state.mean * kept + state.value * (1 - kept);
}

/** The number becomes `value`. */
inline void recordValue (TimeWeightedMean& state, TimePoint now, unsigned value)
{
    state.mean = currentMean (state, now);
    state.value = value;
    state.updated = now;
}

} // namespace anisehold::overload
