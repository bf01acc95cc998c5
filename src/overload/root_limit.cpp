#include "overload/root_limit.hpp"

#include <algorithm>
#include <cmath>

#include "overload/capacity_share.hpp"

namespace anisehold::overload
{
namespace
{

/** Share of refused calls that is put up with: single refusals are settled by the fall's end. */
constexpr double toleratedShare = 0.005;
/** A request makes several calls, and stops at the first that is refused: more must be kept out than the
   share of refused calls says. A chain of four calls of which each is refused with a sixth makes 3.1 of them;
   without refusals as many calls come from 0.64 of the requests, which is a weight of 3.4. Measured on a
   mesh with such a chain at 1.7 times its usual load, one day each: worth 0.629 with 2, 0.646 with 3.5. */
constexpr double refusalWeight = 3.5;
/** How much of the way up to the level that seems right one period goes; it falls all the way at once, since
   work is wasted meanwhile. */
constexpr double riseGain = 0.5;
/** Bounds of the level that seems right, as factors of the one that was seen at work; the second for a
 * second. */
constexpr double mostFall = 0.4;
constexpr double mostRisePerS = 0.5;
/** Some requests are always let in: they notice when room comes back. */
constexpr double leastLevel = 0.05;
/** What is taken for a period at least and at most. */
constexpr double shortestPeriodS = 0.1;
constexpr double longestPeriodS = 3.0;
/** A lower use is taken for this. */
constexpr double leastUse = 0.05;
/** A verdict needs this many ended calls. */
constexpr std::uint32_t leastEnded = 20;
/** Periods without refusals after which a service's rows are forgotten. */
constexpr unsigned forgetAfterPeriods = 60;
/** Reports that are older than this many periods don't count. */
constexpr double reportPeriods = 2.5;
/** Failures of a row that show that it reaches a service: so many (three within a second), and such a part of
   its requests. A server's own failures are less than a hundredth of its answers, but two in a row do happen
   in a fleet (F22); where calls are refused, each fails a whole request. */
constexpr double leastFailuresBelow = 2.5;
constexpr double leastPartFailedBelow = 0.1;
/** Weight of a report in the mean work of a row. */
constexpr double workSample = 0.25;
/** A row's volume counts half after this time. */
constexpr double volumeHalfLifeS = 3.0;

/** The fleet's counts of a period. */
struct FleetCounts
{
    double ended = 0;
    double refused = 0;
    double meanLevel = 1;
    std::size_t daemons = 0;
};

FleetCounts sumReports (const ServiceState& service, TimePoint now, Duration period)
{
    FleetCounts sum;
    double levels = 0;

    for (const auto& [daemon, it] : service.reports)
    {
        if (std::chrono::duration<double> (now - it.reported) >
            reportPeriods * std::chrono::duration<double> (period))
            continue;

        sum.ended += it.ended - it.endedBefore;
        sum.refused += it.refused - it.refusedBefore;
        levels += it.level;
        ++sum.daemons;
    }

    sum.meanLevel = sum.daemons > 0 ? levels / static_cast<double> (sum.daemons) : service.level;
    return sum;
}

/** This daemon's counts as its reports tell them, without rows. */
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
    counts.level = service.level;
    return counts;
}

/** Takes in new counts of a daemon. A restarted one counts from zero again. */
void takeReport (ServiceState& service, TimePoint now, const std::string& daemon,
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
    counts.level = report.level;
    counts.reported = now;
}

void moveLevel (ServiceState& service, const FleetCounts& fleet, double use, double periodS)
{
    // The daemons' levels are drawn together, so that a restarted one takes over its peers'.
    service.level = std::min (fleet.meanLevel, 1.0);
    const bool isEnough = fleet.ended >= leastEnded;
    const double refusedPart = fleet.ended > 0 ? fleet.refused / fleet.ended : 0.0;
    const bool isClean = fleet.refused <= 0 || (isEnough && refusedPart <= toleratedShare);
    service.cleanPeriods = isClean ? service.cleanPeriods + 1 : 0;

    if (service.cleanPeriods >= forgetAfterPeriods)
    {
        service.rows.clear();
        service.works.clear();
    }

    // Only refusals bring a limit about; a few calls of a small fleet are no verdict.
    if (service.level >= 1 && (isClean || ! isEnough))
    {
        service.levelAtWork = service.level;
        return;
    }

    // What was measured is the work of the levels of the last periods: reports and means are that old.
    service.levelAtWork = (service.levelAtWork + service.level) / 2;
    const double load = std::max (use, leastUse) * (1.0 + refusalWeight * refusedPart);
    const double right =
        service.levelAtWork * std::clamp (targetUtilization / load, mostFall, 1.0 + mostRisePerS * periodS);
    const double gain = right < service.level ? 1.0 : riseGain;
    service.level = std::clamp (service.level + gain * (right - service.level), leastLevel, 1.0);
}

double faded (double value, Duration age)
{
    return value * std::exp2 (-std::chrono::duration<double> (age).count() / volumeHalfLifeS);
}

double fadedVolume (const RowVolume& row, TimePoint now)
{
    return faded (row.offered, now - row.updated);
}

/** Work of the service's rows for which none was measured: the mean of the others. */
double usualWork (const ServiceState& service)
{
    double sum = 0;

    for (const auto& [row, ms] : service.works)
        sum += ms;

    return sum > 0 ? sum / static_cast<double> (service.works.size()) : 1.0;
}

/** What is offered of the rows that reach the service, in work. */
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
        const double work = known == service.works.end() ? usualWork (service) : known->second;
        demands.push_back ({ name, it.priority, fadedVolume (it, latest) * work });
    }

    return demands;
}

/** The shares of all rows that reach the service and were offered, by its level. */
std::map<std::string, double> sharesLetIn (const RootLimitState& state, const ServiceState& service)
{
    const auto demands = demandsOf (state, service);
    double whole = 0;

    for (const auto& it : demands)
        whole += it.work;

    const auto shares = shareCapacity (demands, service.level * whole);
    std::map<std::string, double> byRow;

    for (std::size_t n = 0; n < demands.size(); ++n)
        byRow[std::string (demands[n].row)] = shares[n];

    return byRow;
}

void takeWorks (ServiceState& service, const std::vector<RowWork>& told)
{
    for (const auto& it : told)
    {
        const auto [known, isNew] = service.works.try_emplace (it.row, it.ms);

        if (! isNew)
            known->second += workSample * (it.ms - known->second);
    }
}

} // namespace

void noteCallEnded (RootLimitState& state, const std::string& service, bool refused)
{
    auto& it = state.services[service];
    ++it.ended;
    it.refused += refused ? 1 : 0;
    it.isRefusing = it.isRefusing || refused;
}

void noteReach (RootLimitState& state, const std::string& row, const std::string& service)
{
    state.services[service].rows.insert (row);
}

void noteFailedBelow (RootLimitState& state, TimePoint now, const std::string& row,
                      const std::string& service)
{
    auto& evidence = state.services[service].evidence[row];
    evidence.failures = faded (evidence.failures, now - evidence.updated) + 1;
    evidence.updated = now;
    const auto volume = state.rows.find (row);
    const double offered = volume == state.rows.end() ? 0 : fadedVolume (volume->second, now);

    if (evidence.failures >= leastFailuresBelow && evidence.failures >= leastPartFailedBelow * offered)
        noteReach (state, row, service);
}

void setOwnWorks (RootLimitState& state, const std::string& service, std::vector<RowWork> works)
{
    auto& it = state.services[service];
    takeWorks (it, works);
    it.ownWorks = std::move (works);
}

double knownWork (const RootLimitState& state, const std::string& service, const std::string& row)
{
    const auto found = state.services.find (service);

    if (found == state.services.end())
        return 0;

    const auto work = found->second.works.find (row);
    return work == found->second.works.end() ? 0 : work->second;
}

void noteOffered (RootLimitState& state, TimePoint now, const RootRow& row)
{
    auto& volume = state.rows[row.name];
    volume.offered = fadedVolume (volume, now) + 1;
    volume.priority = row.priority;
    volume.updated = now;
}

void notePeerReport (RootLimitState& state, TimePoint now, const std::string& peer,
                     const std::vector<ServicePressure>& reports)
{
    for (const auto& it : reports)
    {
        auto& service = state.services[it.service];
        service.rows.insert (it.rows.begin(), it.rows.end());
        service.isRefusing = service.isRefusing || it.recentRefused > 0;
        takeWorks (service, it.works);
        takeReport (service, now, peer, it);
    }
}

std::vector<LevelMove> endPeriod (RootLimitState& state, TimePoint now, const ServiceUse& uses)
{
    std::vector<LevelMove> moves;
    const std::chrono::duration<double> passed = now - state.periodEnded;
    const double periodS = std::clamp (passed.count(), shortestPeriodS, longestPeriodS);
    state.periodEnded = now;

    for (auto& [name, service] : state.services)
    {
        takeReport (service, now, state.ownName, ownCounts (state, name, service));
        const auto fleet = sumReports (service, now, state.period);
        service.isRefusing = fleet.refused > 0;
        const double before = service.level;
        const auto found = uses.find (name);
        const double use = found == uses.end() ? 0 : found->second;
        moveLevel (service, fleet, use, periodS);

        if (service.level == before)
            continue;

        moves.push_back ({ name, before, service.level, static_cast<std::uint64_t> (fleet.ended),
                           static_cast<std::uint64_t> (fleet.refused), fleet.daemons, use,
                           sharesLetIn (state, service) });
    }

    return moves;
}

bool isUnderPressure (const RootLimitState& state)
{
    return std::any_of (state.services.begin(), state.services.end(),
                        [] (const auto& it) { return it.second.level < 1 || it.second.isRefusing; });
}

std::vector<ServicePressure> ownReport (const RootLimitState& state)
{
    std::vector<ServicePressure> reports;

    for (const auto& [name, service] : state.services)
    {
        if (service.rows.empty() && service.level >= 1 && ! service.isRefusing)
            continue;

        reports.push_back (ownCounts (state, name, service));
        reports.back().rows.assign (service.rows.begin(), service.rows.end());
        reports.back().works = service.ownWorks;
    }

    return reports;
}

double refusedShare (const RootLimitState& state, const RootRow& row)
{
    double admitted = 1;

    for (const auto& [name, service] : state.services)
    {
        if (service.level >= 1 || ! service.rows.contains (row.name))
            continue;

        const auto shares = sharesLetIn (state, service);
        const auto share = shares.find (row.name);
        admitted = std::min (admitted, share == shares.end() ? 1.0 : share->second);
    }

    return 1 - admitted;
}

} // namespace anisehold::overload
