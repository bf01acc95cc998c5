#include "overload/admitted_share.hpp"

#include <algorithm>
#include <cstdint>

namespace anisehold::overload
{
namespace
{

/** Share of calls that may be refused without a limit: single refusals. */
constexpr double maxToleratedRefusals = 0.005;
/** Ended calls of the fleet in a period below which refusals bring no limit about. */
constexpr std::uint32_t minEnded = 20;
/** A request makes several calls, and stops at the first that is refused: more must be kept out than the
    share of refused calls says. A chain of four calls of which each is refused with a sixth makes 3.1 of
    them; without refusals as many calls come from 0.64 of the requests, which is a weight of 3.4. */
constexpr double refusalWeight = 3.5;
/** Part of the way up to the right share that one period goes: a rise too far costs refused calls. */
constexpr double riseGain = 0.5;
/** Bounds of the right share, as factors of the one that was measured: at least, in a period, and added at
    most, a second. */
constexpr double minShareFactor = 0.4;
constexpr double maxRisePerS = 0.5;
/** Some requests are always admitted: they show that there is capacity again. */
constexpr double minShare = 0.05;
/** A lower utilization is taken for this, against division by nearly nothing. */
constexpr double minUtilization = 0.05;
/** Periods without refusals after which a service's rows are forgotten: a minute in calm times. */
constexpr unsigned rowExpiryPeriods = 60;

} // namespace

void updateAdmittedShare (ServiceState& service, const FleetCounts& fleet, double utilization, double periodS)
{
    // The daemons' shares are drawn together, so that a restarted one takes over its peers'.
    service.admittedShare = std::min (fleet.meanAdmittedShare, 1.0);
    const bool isEnough = fleet.ended >= minEnded;
    const double refusedPart = fleet.ended > 0 ? fleet.refused / fleet.ended : 0.0;
    const bool isClean = fleet.refused <= 0 || (isEnough && refusedPart <= maxToleratedRefusals);
    service.cleanPeriods = isClean ? service.cleanPeriods + 1 : 0;

    if (service.cleanPeriods >= rowExpiryPeriods)
    {
        service.rows.clear();
        service.works.clear();
    }

    // Only refusals bring a limit about; a few calls of a small fleet are no verdict.
    if (service.admittedShare >= 1 && (isClean || ! isEnough))
    {
        service.measuredAdmittedShare = service.admittedShare;
        return;
    }

    // What was measured was admitted by the shares of the last periods: reports and means are that old.
    service.measuredAdmittedShare = (service.measuredAdmittedShare + service.admittedShare) / 2;
    const double demanded = std::max (utilization, minUtilization) * (1.0 + refusalWeight * refusedPart);
    const double right =
        service.measuredAdmittedShare *
        std::clamp (targetUtilization / demanded, minShareFactor, 1.0 + maxRisePerS * periodS);
    const double gain = right < service.admittedShare ? 1.0 : riseGain;
    service.admittedShare =
        std::clamp (service.admittedShare + gain * (right - service.admittedShare), minShare, 1.0);
}

} // namespace anisehold::overload
