#include "overload/pressure_report.hpp"

#include <algorithm>

#include "overload/retry_capacity.hpp"

namespace anisehold::overload
{
namespace
{

/** Number of periods after which a report no longer counts. Reports may be lost, and the periods of two
    daemons aren't synchronized. */
constexpr double reportPeriods = 2.5;
/** Weight of a report in the mean work of a row. */
constexpr double workSample = 0.25;

/** Sums the recent reports. */
FleetCounts sumReports (const ServiceState& service, TimePoint now, Duration period)
{
    FleetCounts sum;
    double shares = 0;

    for (const auto& [daemon, it] : service.reports)
    {
        if (std::chrono::duration<double> (now - it.reported) >
            reportPeriods * std::chrono::duration<double> (period))
            continue;

        sum.ended += it.ended - it.endedBefore;
        sum.refused += it.refused - it.refusedBefore;
        shares += it.admittedShare;
        ++sum.daemons;
    }

    sum.meanAdmittedShare =
        sum.daemons > 0 ? shares / static_cast<double> (sum.daemons) : service.admittedShare;
    return sum;
}

/** Returns this daemon's counts for a report, without rows and work. */
ServicePressure ownCounts (const RootLimitState& state, const std::string& name, const ServiceState& service)
{
    const auto it = service.reports.find (state.ownName);
    const bool isFirst = it == service.reports.end();
    ServicePressure counts;
    counts.service = name;
    counts.ended = service.ended;
    counts.refused = service.refused;
    counts.recentEnded = service.ended - (isFirst ? 0 : it->second.endedBefore);
    counts.recentRefused = service.refused - (isFirst ? 0 : it->second.refusedBefore);
    counts.admittedShare = service.admittedShare;
    return counts;
}

/** Stores new counts of a daemon. The counts of a restarted daemon start at zero. */
void applyReport (ServiceState& service, TimePoint now, const std::string& daemon,
                  const ServicePressure& report)
{
    auto& counts = service.reports[daemon];
    const bool isRestarted = report.ended < counts.ended || report.refused < counts.refused;
    const bool isFirst = counts.reported == TimePoint{};
    const auto endedEarlier = report.ended - std::min (report.recentEnded, report.ended);
    const auto refusedEarlier = report.refused - std::min (report.recentRefused, report.refused);
    counts.endedBefore = isFirst ? endedEarlier : isRestarted ? 0 : counts.ended;
    counts.refusedBefore = isFirst ? refusedEarlier : isRestarted ? 0 : counts.refused;
    counts.ended = report.ended;
    counts.refused = report.refused;
    counts.admittedShare = report.admittedShare;
    counts.reported = now;
}

void applyRowWork (ServiceState& service, const std::vector<RowWork>& reported)
{
    for (const auto& it : reported)
    {
        const auto [known, isNew] = service.works.try_emplace (it.row, it.ms);

        if (! isNew)
            known->second += workSample * (it.ms - known->second);
    }
}

/** Returns the work by the estimates that daemons exchange for the forecast; 0 if unknown. */
double forecastRowWork (const RootLimitState& state, const std::string& service, const std::string& row)
{
    const auto& works = state.forecast.demand.works;
    const auto found = works.find (service);

    if (! state.forecast.isOn || found == works.end())
        return 0;

    const auto work = found->second.find (row);
    return work == found->second.end() ? 0 : work->second;
}

} // namespace

void recordCallEnded (RootLimitState& state, const std::string& service, bool refused)
{
    auto& it = state.services[service];
    ++it.ended;
    it.refused += refused ? 1 : 0;
    it.isRefusing = it.isRefusing || refused;
}

void setOwnRowWork (RootLimitState& state, const std::string& service, std::vector<RowWork> works)
{
    auto& it = state.services[service];
    applyRowWork (it, works);
    it.ownRowWork = std::move (works);
}

double knownRowWork (const RootLimitState& state, const std::string& service, const std::string& row)
{
    if (const double ms = forecastRowWork (state, service, row); ms > 0)
        return ms;

    const auto found = state.services.find (service);

    if (found == state.services.end())
        return 0;

    const auto work = found->second.works.find (row);
    return work == found->second.works.end() ? 0 : work->second;
}

void recordPeerReport (RootLimitState& state, TimePoint now, const std::string& peer,
                       const std::vector<ServicePressure>& reports)
{
    for (const auto& it : reports)
    {
        auto& service = state.services[it.service];
        service.rows.insert (it.rows.begin(), it.rows.end());
        service.isRefusing = service.isRefusing || it.recentRefused > 0;
        applyRowWork (service, it.works);
        applyReport (service, now, peer, it);
    }
}

std::vector<ServicePressure> ownReport (const RootLimitState& state)
{
    std::vector<ServicePressure> reports;

    for (const auto& [name, service] : state.services)
    {
        if (service.rows.empty() && service.admittedShare >= 1 && ! service.isRefusing &&
            ! isDeclining (state, name))
            continue;

        reports.push_back (ownCounts (state, name, service));
        reports.back().rows.assign (service.rows.begin(), service.rows.end());
        reports.back().works = service.ownRowWork;
    }

    return reports;
}

FleetCounts sumFleetCounts (const RootLimitState& state, TimePoint now, const std::string& name,
                            ServiceState& service)
{
    applyReport (service, now, state.ownName, ownCounts (state, name, service));
    return sumReports (service, now, state.period);
}

} // namespace anisehold::overload
