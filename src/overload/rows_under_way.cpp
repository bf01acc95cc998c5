#include "overload/rows_under_way.hpp"

#include <algorithm>

#include "overload/row_reach.hpp"

namespace anisehold::overload
{
namespace
{

/** Change of the share for each whole part of the usual number by which the requests under way differ from
   it: none is admitted with a sixth more. */
constexpr double correctionPerPart = 6.0;
/** A smaller usual number is taken for this: a single request isn't far too many. */
constexpr double leastUsual = 1.0;
/** Weight of the newest request in the mean time. */
constexpr double timeSample = 0.05;

} // namespace

void noteRequestBegan (RootLimitState& state, const std::string& row)
{
    ++state.rows[row].underWay;
}

void noteRequestEnded (RootLimitState& state, const std::string& row, Duration taken)
{
    auto& volume = state.rows[row];
    volume.underWay -= std::min (volume.underWay, 1U);

    if (volume.meanTime == Duration::zero())
        volume.meanTime = taken;
    else
        volume.meanTime += std::chrono::duration_cast<Duration> (
            timeSample * std::chrono::duration<double> (taken - volume.meanTime));
}

double steadiedShare (const RowVolume& volume, double admittedShare)
{
    if (admittedShare >= 1 || volume.meanTime == Duration::zero())
        return admittedShare;

    const double usual =
        admittedShare * offeredPerSecond (volume) * std::chrono::duration<double> (volume.meanTime).count();
    const double tooFew = (usual - volume.underWay) / std::max (usual, leastUsual);
    return std::clamp (admittedShare * (1 + correctionPerPart * tooFew), 0.0, 1.0);
}

} // namespace anisehold::overload
