#include "overload/capacity_forecast.hpp"

#include <algorithm>
#include <cmath>

#include "overload/root_limit.hpp"
#include "protocol/half_life.hpp"

namespace anisehold::overload
{
namespace
{

/** Utilization that a limited service is admitted up to. Above, waiting calls of long chains are refused. */
constexpr double limitedUtilization = 0.99;
/** Utilization below which a limit ends. */
constexpr double endUtilization = 0.93;
/** Rows whose work per request is below this share of the mean are not limited. Calls are divided among the
    rows that run at the same time, so a row that makes none may get a small estimate. */
constexpr double minRelativeWork = 0.05;
/** Half-lives of the admitted work and of the measured utilization that it is compared with, and of the mean
   of a row's demand; the latter is that of a daemon's volumes (row_reach). */
constexpr double useHalfLifeS = 0.6;
constexpr double trendHalfLifeS = 3.0;
/** Bounds of the ratio of a row's present demand to its mean. */
constexpr double minTrend = 0.3;
constexpr double maxTrend = 3.0;

/** Part of the difference by which the correction moves in a period. */
constexpr double riseGain = 0.4;
constexpr double fallGain = 0.5;
/** Bounds of the factor by which the correction moves in a period. After a burst the utilization falls before
    the demand is known to have fallen. */
constexpr double maxFall = 0.8;
constexpr double maxRise = 1.06;
/** Age up to which the correction from before the refusals is restored when a limit starts. */
constexpr seconds maxSettledAge{ 3 };
/** Time from the start of a limit in which refusals are those of chains that were admitted before. */
constexpr milliseconds limitOnset{ 1'000 };
/** Change of the use, relative to its mean, up to which utilization and use can be compared: in a burst the
    chains reach the last service later than the forecast counts them. */
constexpr double steadyChange = 0.1;
/** Range of measured utilizations from which the correction is learned. */
constexpr double minUtilization = 0.2;
/** Share of refused calls that is tolerated, the number of calls that makes it significant, and its weight,
    as in admitted_share. */
constexpr double maxToleratedRefusals = 0.005;
constexpr double minEnded = 20;
constexpr double refusalWeight = 3.5;
/** Share of arrivals that servers decline at any load, above which utilization doesn't show the capacity. */
constexpr double maxDeclined = 0.05;
/** Periods with refusals at the lowest correction until the limit by refusals applies, and periods without
    refusals until the forecast applies again. */
constexpr unsigned distrustPeriods = 3;
constexpr unsigned trustPeriods = 10;

/** Change of the share that is reported, and the minimum time between two reports. */
constexpr double notableChange = 0.05;
constexpr seconds minReportPause{ 1 };

/** Demand by row name. */
using NamedDemand = std::map<std::string, OfferedRate>;

/** Returns the demand of every row that has a work estimate or reaches a service. */
NamedDemand namedDemand (const RootLimitState& state, TimePoint now)
{
    const auto offered = fleetDemand (state.forecast.demand, now);
    NamedDemand named;
    const auto add = [&] (const std::string& row)
    {
        const auto found = offered.find (rowId (row));

        if (found != offered.end())
            named[row] = found->second;
    };

    for (const auto& [service, rows] : state.forecast.demand.works)
        for (const auto& [row, ms] : rows)
            add (row);

    for (const auto& [name, service] : state.services)
        for (const auto& row : service.rows)
            add (row);

    return named;
}

void updateTrends (ForecastState& forecast, Duration elapsed, const NamedDemand& demand)
{
    const double kept = kept_part (elapsed, trendHalfLifeS);
    std::erase_if (forecast.trends, [&] (const auto& it) { return ! demand.contains (it.first); });

    for (const auto& [row, offered] : demand)
    {
        const auto [it, isNew] = forecast.trends.try_emplace (row, RowTrend{ offered.perSecond, 1 });
        auto& trend = it->second;
        trend.mean = kept * trend.mean + (1 - kept) * offered.perSecond;
        trend.ratio = trend.mean > 0 ? std::clamp (offered.perSecond / trend.mean, minTrend, maxTrend) : 1.0;
    }
}

/** Returns the mean work of the requests that bring work to the service; 0 if there is no demand. */
double meanWork (const NamedDemand& demand, const RowMs& works)
{
    double work = 0;
    double rate = 0;

    for (const auto& [row, ms] : works)
    {
        const auto found = demand.find (row);
        work += found == demand.end() ? 0 : found->second.perSecond * ms;
        rate += found == demand.end() ? 0 : found->second.perSecond;
    }

    return rate > 0 ? work / rate : 0;
}

/** Returns the demands of the rows that reach the service. Rows that are known to reach it, but have no
    estimate, count with the mean. */
std::vector<LimitedRow> demandsOf (const RootLimitState& state, const std::string& service,
                                   const NamedDemand& demand)
{
    const auto& allWorks = state.forecast.demand.works;
    const auto works = allWorks.find (service);
    const double mean = works == allWorks.end() ? 0 : meanWork (demand, works->second);
    std::vector<LimitedRow> rows;

    if (mean <= 0)
        return rows;

    const auto known = state.services.find (service);

    for (const auto& [row, offered] : demand)
    {
        const auto ms = works->second.find (row);
        const bool isEstimated = ms != works->second.end();
        const bool reaches = known != state.services.end() && known->second.rows.contains (row);

        if (isEstimated ? ms->second >= minRelativeWork * mean : reaches)
            rows.push_back ({ row, offered.priority, offered.perSecond, isEstimated ? ms->second : mean });
    }

    return rows;
}

/** Returns the lowest share of the row over all limits in force. */
double admittedShareOf (const RootLimitState& state, const std::string& row)
{
    double share = 1;

    for (const auto& [name, service] : state.services)
    {
        for (const auto& [resource, shares] : service.limitShares)
        {
            const auto found = shares.find (row);
            share = found == shares.end() ? share : std::min (share, found->second);
        }
    }

    return share;
}

double utilizationOf (const ServiceForecast& service, double correction)
{
    return service.demand / std::max (service.capacity * correction, 1.0);
}

/** Restores the correction from before the latest refusals if the demand and the capacity alone explain them:
    gates refuse before the rise of the demand, or the loss of capacity, is known here. */
void restoreCorrection (ServiceForecast& service, TimePoint now)
{
    const bool isRecent = now - service.settled < maxSettledAge;

    if (isRecent && utilizationOf (service, service.settledCorrection) > startUtilization)
        service.correction = std::max (service.correction, service.settledCorrection);
}

/** Starts or ends the limit of a service. */
void applyLimit (RootLimitState& state, const std::string& name, ServiceForecast& service,
                 std::vector<LimitedRow> demands)
{
    const TimePoint now = state.forecast.updated;
    CapacityLimit limit{ slotLimit, std::move (demands), 0 };
    service.demand = demandOf (limit);
    const bool wasLimiting = service.isLimiting;
    service.isLimiting =
        utilizationOf (service, service.correction) > (wasLimiting ? endUtilization : startUtilization);

    if (service.isLimiting && ! wasLimiting)
    {
        service.limitStarted = now;
        restoreCorrection (service, now);
    }

    limit.capacity = limitedUtilization * service.capacity * service.correction;
    service.share = service.isLimiting ? std::min (1.0, limit.capacity / service.demand) : 1;

    if (service.isLimiting)
        setCapacityLimit (state, name, limit);
    else
        clearCapacityLimit (state, name, slotLimit);
}

void updateUse (const RootLimitState& state, ServiceForecast& service, const std::vector<LimitedRow>& demands,
                double utilization, double kept)
{
    service.admitted = 0;

    for (const auto& it : demands)
        service.admitted += admittedShareOf (state, it.row) * it.perSecond * it.perRequest;

    service.use = service.capacity > 0 ? service.admitted / service.capacity : 0;
    const double weight = service.meanUse > 0 ? 1 - kept : 1;
    service.meanUse += weight * (service.use - service.meanUse);
    service.meanUtilization += weight * (utilization - service.meanUtilization);
}

/** Removes the forecast of services that lack an input, and with it their limit. */
void removeWithoutInput (RootLimitState& state, const std::map<std::string, std::vector<LimitedRow>>& demands)
{
    std::erase_if (state.forecast.services,
                   [&] (const auto& it)
                   {
                       const bool isGone = ! demands.contains (it.first);

                       if (isGone)
                           clearCapacityLimit (state, it.first, slotLimit);

                       return isGone;
                   });
}

bool isNotable (const ServiceForecast& service, TimePoint now)
{
    const bool hasMoved = std::abs (service.share - service.loggedShare) >= notableChange ||
                          (service.share < 1) != (service.loggedShare < 1);
    return hasMoved && now - service.logged >= minReportPause;
}

std::vector<ForecastChange> takeChanges (ForecastState& forecast, TimePoint now)
{
    std::vector<ForecastChange> changes;

    for (auto& [name, it] : forecast.services)
    {
        if (! isNotable (it, now))
            continue;

        it.loggedShare = it.share;
        it.logged = now;
        changes.push_back ({ name, it.capacity * it.correction, it.demand, it.correction, it.share });
    }

    return changes;
}

/** Updates whether the forecast is trusted, after a period. */
void updateTrust (ServiceForecast& service, bool isRefusing)
{
    const bool isHelpless = isRefusing && service.correction <= minCorrection;
    service.refusedPeriods = isHelpless ? service.refusedPeriods + 1 : 0;
    service.cleanPeriods = isRefusing ? 0 : service.cleanPeriods + 1;

    if (service.refusedPeriods >= distrustPeriods)
        service.isTrusted = false;
    else if (service.cleanPeriods >= trustPeriods)
        service.isTrusted = true;
}

/** Moves the correction towards the one that the last two periods called for. */
void learn (ServiceForecast& service, double sample, bool isRefusing, TimePoint now)
{
    const bool isSteady = std::abs (service.use - service.meanUse) <= steadyChange * service.meanUse;
    const bool isNewLimit = service.isLimiting && now - service.limitStarted < limitOnset;
    const double low = std::min (sample, service.lastSample);
    const double high = std::max (sample, service.lastSample);
    const double before = service.correction;

    if (high < before && (isRefusing ? ! isNewLimit : isSteady))
        service.correction = std::max (before + fallGain * (high - before), maxFall * before);
    else if (isSteady && ! isRefusing && low > before && service.declinedShare <= maxDeclined)
        service.correction = std::min (before + riseGain * (low - before), maxRise * before);

    service.correction = std::clamp (service.correction, minCorrection, maxCorrection);
}

} // namespace

std::vector<ForecastChange> updateForecast (RootLimitState& state, TimePoint now,
                                            const Capacities& capacities)
{
    auto& forecast = state.forecast;
    const Duration elapsed = forecast.updated == TimePoint{} ? Duration::zero() : now - forecast.updated;
    forecast.updated = now;
    refreshWorks (forecast.demand, now, state.ownName);
    const auto demand = namedDemand (state, now);
    updateTrends (forecast, elapsed, demand);
    std::map<std::string, std::vector<LimitedRow>> demands;

    for (const auto& [name, capacity] : capacities)
    {
        auto rows = demandsOf (state, name, demand);

        if (rows.empty() || capacity.msPerSecond <= 0)
            continue;

        auto& service = forecast.services[name];
        service.capacity = capacity.msPerSecond;
        service.declinedShare = capacity.declinedShare;
        applyLimit (state, name, service, rows);
        demands[name] = std::move (rows);
    }

    removeWithoutInput (state, demands);

    for (const auto& [name, rows] : demands)
        updateUse (state, forecast.services[name], rows, capacities.at (name).utilization,
                   kept_part (elapsed, useHalfLifeS));

    return takeChanges (forecast, now);
}

bool isLimitedByForecast (const RootLimitState& state)
{
    return std::any_of (state.forecast.services.begin(), state.forecast.services.end(),
                        [] (const auto& it) { return it.second.isLimiting; });
}

void endForecast (RootLimitState& state)
{
    for (const auto& [name, service] : state.forecast.services)
        clearCapacityLimit (state, name, slotLimit);

    state.forecast = {};
}

bool hasForecast (const RootLimitState& state, const std::string& service)
{
    return state.forecast.isOn && state.forecast.services.contains (service);
}

bool followsForecast (const RootLimitState& state, const std::string& service)
{
    return hasForecast (state, service) && state.forecast.services.at (service).isTrusted;
}

void correctForecast (RootLimitState& state, const std::string& name, const FleetCounts& fleet)
{
    auto& service = state.forecast.services[name];
    const double refusedShare = fleet.ended >= minEnded ? fleet.refused / fleet.ended : 0;
    const bool isRefusing = refusedShare > maxToleratedRefusals;
    updateTrust (service, isRefusing);

    if (! isRefusing && ! service.isLimiting)
    {
        service.settledCorrection = service.correction;
        service.settled = state.forecast.updated;
    }

    if (! service.isTrusted || service.meanUtilization < minUtilization || service.meanUse <= 0)
        return;

    const double effective = service.meanUtilization * (1 + (isRefusing ? refusalWeight * refusedShare : 0));
    const double sample = service.meanUse / effective;
    learn (service, sample, isRefusing, state.forecast.updated);
    service.lastSample = sample;
}

} // namespace anisehold::overload
