#include "overload/rows_under_way.hpp"

#include <algorithm>

#include "overload/row_reach.hpp"

namespace anisehold::overload
{
namespace
{

/** Gain of the correction: relative change of the share per relative deviation of the requests in flight
    from the expected number. No request is admitted if a sixth more than expected are in flight. */
constexpr double correctionGain = 6.0;
/** Minimum expected number in the division, so that a single request isn't a large excess. */
constexpr double minExpected = 1.0;
/** Weight of the newest request in the mean duration. */
constexpr double timeSample = 0.05;

} // namespace

void recordRequestStarted (RootLimitState& state, const std::string& row)
{
    ++state.rows[row].inFlight;
}

void recordRequestEnded (RootLimitState& state, const std::string& row, Duration elapsed)
{
    auto& volume = state.rows[row];
    volume.inFlight -= std::min (volume.inFlight, 1U);

    if (volume.meanTime == Duration::zero())
        volume.meanTime = elapsed;
    else
        volume.meanTime += std::chrono::duration_cast<Duration> (
            timeSample * std::chrono::duration<double> (elapsed - volume.meanTime));
}

double correctedShare (const RowVolume& volume, double admittedShare)
{
    return correctedShare (volume, admittedShare, offeredPerSecond (volume));
}

double correctedShare (const RowVolume& volume, double admittedShare, double perSecond)
{
    if (admittedShare >= 1 || volume.meanTime == Duration::zero())
        return admittedShare;

    const double expected =
        admittedShare * perSecond * std::chrono::duration<double> (volume.meanTime).count();
    const double shortfall = (expected - volume.inFlight) / std::max (expected, minExpected);
    return std::clamp (admittedShare * (1 + correctionGain * shortfall), 0.0, 1.0);
}

} // namespace anisehold::overload
