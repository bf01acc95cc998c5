#include "overload/admitted_share.hpp"

#include <algorithm>
#include <cstdint>

namespace anisehold::overload
{
namespace
{

/** Share of refused calls that is tolerated without a limit: single refusals. */
constexpr double maxToleratedRefusals = 0.005;
/** Minimum number of finished calls of the fleet in a period for refusals to start a limit. */
constexpr std::uint32_t minEnded = 20;
/** Weight of the share of refused calls. A request makes several calls and stops at the first refused one,
    so more requests must be rejected than the share of refused calls suggests. A chain of four calls, each
    refused with a probability of one sixth, makes 3.1 calls on average; without refusals 0.64 of the
    requests make as many calls, which is a weight of 3.4. */
constexpr double refusalWeight = 3.5;
/** Part of the difference to the target share by which the share rises in a period: an excessive rise
    costs refused calls. */
constexpr double riseGain = 0.5;
/** Bounds of the target share relative to the measured share: minimum factor per period, and maximum
    increase per second. */
constexpr double minShareFactor = 0.4;
constexpr double maxRisePerS = 0.5;
/** Minimum admitted share: the admitted requests show when the service has capacity again. */
constexpr double minShare = 0.05;
/** Minimum utilization in the division that yields the target share. */
constexpr double minUtilization = 0.05;
/** Number of periods without refusals after which a service's rows expire; a minute in calm times. */
constexpr unsigned rowExpiryPeriods = 60;

double refusalShareOf (const FleetCounts& fleet)
{
    return fleet.ended > 0 ? fleet.refused / fleet.ended : 0.0;
}

} // namespace

bool expireRows (ServiceState& service, const FleetCounts& fleet)
{
    const bool isClean =
        fleet.refused <= 0 || (fleet.ended >= minEnded && refusalShareOf (fleet) <= maxToleratedRefusals);
    service.cleanPeriods = isClean ? service.cleanPeriods + 1 : 0;

    if (service.cleanPeriods >= rowExpiryPeriods)
    {
        service.rows.clear();
        service.works.clear();
    }

    return isClean;
}

void updateAdmittedShare (ServiceState& service, const FleetCounts& fleet, double utilization, double periodS)
{
    // Averages the daemons' shares, so that a restarted daemon adopts the share of its peers.
    service.admittedShare = std::min (fleet.meanAdmittedShare, 1.0);
    const bool isEnough = fleet.ended >= minEnded;
    const double refusalShare = refusalShareOf (fleet);
    const bool isClean = expireRows (service, fleet);

    // Only refusals start a limit; the few calls of a small fleet aren't sufficient evidence.
    if (service.admittedShare >= 1 && (isClean || ! isEnough))
    {
        service.measuredAdmittedShare = service.admittedShare;
        return;
    }

    // The measurements reflect the shares of the last periods, since reports and means are that old.
    service.measuredAdmittedShare = (service.measuredAdmittedShare + service.admittedShare) / 2;
    const double effectiveUtilization =
        std::max (utilization, minUtilization) * (1.0 + refusalWeight * refusalShare);
    const double targetShare =
        service.measuredAdmittedShare *
        std::clamp (targetUtilization / effectiveUtilization, minShareFactor, 1.0 + maxRisePerS * periodS);
    const double gain = targetShare < service.admittedShare ? 1.0 : riseGain;
    service.admittedShare =
        std::clamp (service.admittedShare + gain * (targetShare - service.admittedShare), minShare, 1.0);
}

} // namespace anisehold::overload
