#include "overload/root_limit.hpp"

#include <algorithm>

#include "overload/capacity_forecast.hpp"
#include "overload/capacity_share.hpp"
#include "overload/retry_capacity.hpp"
#include "overload/rows_under_way.hpp"

namespace anisehold::overload
{
namespace
{

/** Bounds of the assumed period length, in seconds. The increase of a share is proportional to the period,
    and must neither stop nor jump after a shortened period or a suspension of the process. */
constexpr double minPeriodS = 0.1;
constexpr double maxPeriodS = 3.0;

/** Returns the work, in ms, assumed for rows without a measurement: the mean of the measured rows. */
double meanRowWork (const ServiceState& service)
{
    double sum = 0;

    for (const auto& [row, ms] : service.works)
        sum += ms;

    return sum > 0 ? sum / static_cast<double> (service.works.size()) : 1.0;
}

/** Returns the offered work of each row that reaches the service. */
std::vector<RowDemand> demandsOf (const RootLimitState& state, const ServiceState& service)
{
    TimePoint latest{};

    for (const auto& [name, it] : state.rows)
        latest = std::max (latest, it.updated);

    std::vector<RowDemand> demands;

    for (const auto& [name, it] : state.rows)
    {
        if (! service.rows.contains (name))
            continue;

        const auto known = service.works.find (name);
        const double work = known == service.works.end() ? meanRowWork (service) : known->second;
        demands.push_back ({ name, it.priority, offeredVolume (it, latest) * work });
    }

    return demands;
}

/** Returns the admitted share of each row that reaches the service and had requests. */
std::map<std::string, double> rowShares (const RootLimitState& state, const ServiceState& service)
{
    const auto demands = demandsOf (state, service);
    double whole = 0;

    for (const auto& it : demands)
        whole += it.work;

    const auto shares = shareCapacity (demands, service.admittedShare * whole);
    std::map<std::string, double> byRow;

    for (std::size_t n = 0; n < demands.size(); ++n)
        byRow[std::string (demands[n].row)] = shares[n];

    return byRow;
}

/** Returns the lowest share of the row over the service's capacity limits; 1 if none applies to it. */
double shareWithinLimits (const ServiceState& service, const std::string& row)
{
    double share = 1;

    for (const auto& [resource, shares] : service.limitShares)
    {
        const auto found = shares.find (row);
        share = found == shares.end() ? share : std::min (share, found->second);
    }

    return share;
}

/** Ends a period of a service whose limit follows the forecast. The share continues from the forecast's when
    the forecast lacks an input later. */
void followForecast (RootLimitState& state, const std::string& name, ServiceState& service,
                     const FleetCounts& fleet)
{
    service.admittedShare = state.forecast.services[name].share;
    service.measuredAdmittedShare = service.admittedShare;
    expireRows (service, fleet);
}

/** Returns the recent request rate of a row at this daemon. In a burst the mean follows too late; the
    fleet's demand shows its trend without the noise of one daemon. */
double presentPerSecond (const RootLimitState& state, const std::string& row, const RowVolume& volume)
{
    const auto trend = state.forecast.trends.find (row);
    const bool isKnown = state.forecast.isOn && trend != state.forecast.trends.end();
    return offeredPerSecond (volume) * (isKnown ? trend->second.ratio : 1);
}

} // namespace

std::vector<AdmittedShareChange> endPeriod (RootLimitState& state, TimePoint now,
                                            const Utilizations& utilizations)
{
    std::vector<AdmittedShareChange> moves;
    const std::chrono::duration<double> elapsed = now - state.periodEnded;
    const double periodS = std::clamp (elapsed.count(), minPeriodS, maxPeriodS);
    state.periodEnded = now;

    for (auto& [name, service] : state.services)
    {
        const auto fleet = sumFleetCounts (state, now, name, service);
        service.isRefusing = fleet.refused > 0;
        const double before = service.admittedShare;
        const auto found = utilizations.find (name);
        const double utilization = found == utilizations.end() ? 0 : found->second;

        if (hasForecast (state, name))
            correctForecast (state, name, fleet);

        if (followsForecast (state, name))
            followForecast (state, name, service, fleet);
        else
            updateAdmittedShare (service, fleet, utilization, periodS);

        if (service.admittedShare == before)
            continue;

        moves.push_back ({ name, before, service.admittedShare, static_cast<std::uint64_t> (fleet.ended),
                           static_cast<std::uint64_t> (fleet.refused), fleet.daemons, utilization,
                           rowShares (state, service) });
    }

    return moves;
}

bool isUnderPressure (const RootLimitState& state)
{
    return ! state.retryCapacity.services.empty() || isLimitedByForecast (state) ||
           std::any_of (state.services.begin(), state.services.end(),
                        [] (const auto& it) { return it.second.admittedShare < 1 || it.second.isRefusing; });
}

void setCapacityLimit (RootLimitState& state, const std::string& service, const CapacityLimit& limit)
{
    state.services[service].limitShares[limit.resource] = sharesWithin (limit);
}

void clearCapacityLimit (RootLimitState& state, const std::string& service, const std::string& resource)
{
    const auto found = state.services.find (service);

    if (found != state.services.end())
        found->second.limitShares.erase (resource);
}

double admittedShareOf (const RootLimitState& state, const RootRow& row)
{
    double admitted = 1;

    for (const auto& [name, service] : state.services)
    {
        admitted = std::min (admitted, shareWithinLimits (service, row.name));

        if (service.admittedShare >= 1 || ! service.rows.contains (row.name) || followsForecast (state, name))
            continue;

        const auto shares = rowShares (state, service);
        const auto share = shares.find (row.name);
        admitted = std::min (admitted, share == shares.end() ? 1.0 : share->second);
    }

    return std::min (admitted, retryLimitedShare (state, row.name));
}

double stabilizedShare (const RootLimitState& state, const std::string& row, double admitted)
{
    const auto volume = state.rows.find (row);
    return volume == state.rows.end()
               ? admitted
               : correctedShare (volume->second, admitted, presentPerSecond (state, row, volume->second));
}

double refusedShare (const RootLimitState& state, const RootRow& row)
{
    return 1 - stabilizedShare (state, row.name, admittedShareOf (state, row));
}

} // namespace anisehold::overload
