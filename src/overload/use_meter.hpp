/** The mean of a number that changes at any moment, weighted by time; older time counts less. Pure. */
#pragma once

#include <cmath>

#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** The present value and the faded mean of those before. */
struct UseMeter
{
    double mean = 0;
    unsigned value = 0;
    TimePoint updated;
};

/** Time after which a past value counts half. */
inline constexpr double useHalfLifeS = 0.25;

/** The mean as of `now`. */
inline double meanOf (const UseMeter& meter, TimePoint now)
{
    const std::chrono::duration<double> passed = now - meter.updated;
    const double kept = std::exp2 (-passed.count() / useHalfLifeS);
    return meter.mean * kept + meter.value * (1 - kept);
}

/** The number becomes `value`. */
inline void noteValue (UseMeter& meter, TimePoint now, unsigned value)
{
    meter.mean = meanOf (meter, now);
    meter.value = value;
    meter.updated = now;
}

} // namespace anisehold::overload
