/** Time-weighted mean of a changing value, with exponential decay.

    A gate keeps the mean of its requests in flight, from which the utilization of a service is computed.
    Relies on the time types only. Pure.
*/
#pragma once

#include "protocol/half_life.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** The current value and the decayed mean of earlier values. */
struct TimeWeightedMean
{
    double mean = 0; /**< Mean as of `updated`. */
    unsigned value = 0;
    TimePoint updated;
};

/** Half-life of past values, in seconds. Shorter than the limit's period under pressure (0.4 s), so that
    the mean of a period mostly reflects that period. */
inline constexpr double meanHalfLifeS = 0.25;

/** Returns the mean as of `now`. */
inline double currentMean (const TimeWeightedMean& state, TimePoint now)
{
    const double kept = kept_part (now - state.updated, meanHalfLifeS);
    return state.mean * kept + state.value * (1 - kept);
}

/** Records a change to `value`. */
inline void recordValue (TimeWeightedMean& state, TimePoint now, unsigned value)
{
    state.mean = currentMean (state, now);
    state.value = value;
    state.updated = now;
}

} // namespace anisehold::overload
