#include "overload/root_limit.hpp"

#include <algorithm>

#include "overload/capacity_share.hpp"
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
    return std::any_of (state.services.begin(), state.services.end(),
                        [] (const auto& it) { return it.second.admittedShare < 1 || it.second.isRefusing; });
}

double admittedShareOf (const RootLimitState& state, const RootRow& row)
{
    double admitted = 1;

    for (const auto& [name, service] : state.services)
    {
        if (service.admittedShare >= 1 || ! service.rows.contains (row.name))
            continue;

        const auto shares = rowShares (state, service);
        const auto share = shares.find (row.name);
        admitted = std::min (admitted, share == shares.end() ? 1.0 : share->second);
    }

    return admitted;
}

double refusedShare (const RootLimitState& state, const RootRow& row)
{
    const double admitted = admittedShareOf (state, row);
    const auto volume = state.rows.find (row.name);
    return 1 - (volume == state.rows.end() ? admitted : correctedShare (volume->second, admitted));
}

} // namespace anisehold::overload
