#include "overload/demand_forecast.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <cmath>
#include <set>

#include "protocol/half_life.hpp"

namespace anisehold::overload
{
namespace
{

/** Half-life of this daemon's rates. With 30 requests a second a shorter one would be mostly noise. */
constexpr double rateHalfLifeS = 0.5;
/** Half-life of the usual rate that a rise is compared with. */
constexpr double usualHalfLifeS = 3.0;
/** The test compares the usual rate with this multiple of it. */
constexpr double surgeRatio = 1.7;
/** Score at which a rise is significant. At 30 requests a second, false alarms are further apart than ten
    minutes, and four fifths of the daemons find a doubling within a second (demand_forecast_test). */
constexpr double surgeScore = 7.5;
/** Usual rate below which the test assumes this rate: a few requests aren't a burst. */
constexpr double minUsualPerSecond = 5;
/** Change of an estimate that is reported, as a share of it. */
constexpr double reportedWorkChange = 0.1;
/** Minimum times between two reports of estimates: with rows that had none, with changed ones, and with the
    same ones, since datagrams are lost. Estimates of four rows for three services are 439 bytes. */
constexpr seconds newWorkPause{ 2 };
constexpr seconds changedWorkPause{ 10 };
constexpr seconds repeatedWorkPause{ 120 };
/** Time after which the estimates of a daemon expire. */
constexpr seconds worksExpiry{ 600 };
/** Minimum time between two computations of the means: 11 ms for 550 daemons with 36 estimates each. */
constexpr seconds minRefreshPause{ 1 };
/** Upper bound of a plausible estimate; a malformed one must not spoil the mean. */
constexpr double maxWorkMs = 600'000;
constexpr double tenths = 10;

/** Half-life of the trend over the latest reports. */
constexpr double trendHalfLifeS = 0.3;
/** Number of standard deviations from which a trend counts. */
constexpr double significantDeviation = 4;
/** Bounds of the factor by which a peer's rates are extrapolated. */
constexpr double minExtrapolation = 0.4;
constexpr double maxExtrapolation = 2.5;

double decayed (double value, Duration age, double halfLifeS)
{
    return value * kept_part (age, halfLifeS);
}

double perSecond (const OwnRate& rate, TimePoint now)
{
    return decayed (rate.offered, now - rate.updated, rateHalfLifeS) / count_window_s (rateHalfLifeS);
}

double ownPerSecond (const DemandState& state, TimePoint now)
{
    double sum = 0;

    for (const auto& [row, rate] : state.own)
        sum += perSecond (rate, now);

    return sum;
}

/** Advances the test by one request; returns true if the rise is significant. */
bool isSurge (DemandState& state, TimePoint now)
{
    auto& test = state.surge;
    const bool isFirst = test.updated == TimePoint{};
    const Duration elapsed = isFirst ? Duration::zero() : now - test.updated;
    const double usual = std::max (test.usual / count_window_s (usualHalfLifeS), minUsualPerSecond);
    const double expected = usual * std::chrono::duration<double> (elapsed).count();
    test.score = std::max (0.0, test.score - (surgeRatio - 1) * expected) + std::log (surgeRatio);
    test.usual = decayed (test.usual, elapsed, usualHalfLifeS) + 1;
    test.updated = now;

    if (test.score < surgeScore)
        return false;

    test.score = 0;
    test.usual = std::max (test.usual, ownPerSecond (state, now) * count_window_s (usualHalfLifeS));
    return true;
}

RowMs plausible (const std::vector<RowWork>& works)
{
    RowMs rows;

    for (const auto& it : works)
    {
        if (it.ms > 0 && it.ms <= maxWorkMs)
            rows[it.row] = it.ms;
    }

    return rows;
}

/** Whether an estimate has changed, and whether there is one of a row or service that had none. */
struct WorkChange
{
    bool isChanged = false;
    bool isNew = false;
};

WorkChange changeOf (const std::map<std::string, RowMs>& now, const std::map<std::string, RowMs>& before)
{
    WorkChange change;

    for (const auto& [service, rows] : now)
    {
        const auto known = before.find (service);

        for (const auto& [row, ms] : rows)
        {
            const auto found = known == before.end() ? rows.end() : known->second.find (row);
            const bool isNew = known == before.end() || found == known->second.end();
            change.isNew = change.isNew || isNew;
            change.isChanged = change.isChanged || (! isNew && std::abs (ms - found->second) >
                                                                   reportedWorkChange * found->second);
        }
    }

    return change;
}

/** Returns the time after the last report of estimates at which the next one is due. */
Duration workPause (const WorkChange& change)
{
    return change.isNew ? newWorkPause : change.isChanged ? changedWorkPause : repeatedWorkPause;
}

double totalPerSecond (const std::vector<OfferedRow>& offered)
{
    double sum = 0;

    for (const auto& it : offered)
        sum += it.tenthPerSecond / tenths;

    return sum;
}

/** Adds a report, which follows an earlier one of the same daemon, to the trend. */
void recordTrend (DemandState& state, TimePoint now, const PeerDemand& earlier,
                  const std::vector<OfferedRow>& offered)
{
    if (earlier.offered.empty())
        return;

    auto& trend = state.trend;
    const double kept = decayed (1, now - trend.updated, trendHalfLifeS);
    trend.before = kept * trend.before + totalPerSecond (earlier.offered);
    trend.now = kept * trend.now + totalPerSecond (offered);
    trend.reports = kept * trend.reports + 1;
    trend.pauseS = kept * trend.pauseS + std::chrono::duration<double> (now - earlier.reported).count();
    trend.updated = now;
}

/** Returns the ratio of the later to the earlier reports, 1 unless they differ significantly. */
double significantTrend (const ReportTrend& trend)
{
    // A decayed rate has the variance of the rate divided by twice the window.
    const double variance = (trend.before + trend.now) / (2 * count_window_s (rateHalfLifeS));
    const double change = trend.now - trend.before;
    const bool isSignificant = std::abs (change) > significantDeviation * std::sqrt (variance);
    return isSignificant && trend.before > 0
               ? std::clamp (trend.now / trend.before, minExtrapolation, maxExtrapolation)
               : 1;
}

/** Returns the factor from the rates in a peer's report to its present ones. Recent reports are part of the
    trend. */
double extrapolation (const ReportTrend& trend, double ratio, Duration age)
{
    const double pauseS = trend.reports > 0 ? trend.pauseS / trend.reports : 0;
    const double ageS = std::max (0.0, std::chrono::duration<double> (age).count() - trendHalfLifeS);
    return pauseS > 0 ? 1 + (ratio - 1) * std::min (1.0, ageS / pauseS) : 1;
}

} // namespace

std::uint32_t rowId (const std::string& row)
{
    boost::crc_32_type crc;
    crc.process_bytes (row.data(), row.size());
    return crc.checksum();
}

bool recordDemand (DemandState& state, TimePoint now, const std::string& row, unsigned priority)
{
    auto& rate = state.own[row];
    rate.offered = decayed (rate.offered, now - rate.updated, rateHalfLifeS) + 1;
    rate.priority = priority;
    rate.updated = now;
    return isSurge (state, now);
}

std::vector<OfferedRow> ownOffered (const DemandState& state, TimePoint now)
{
    std::vector<OfferedRow> rows;

    for (const auto& [row, rate] : state.own)
    {
        const double scaled = std::round (tenths * perSecond (rate, now));

        if (scaled >= 1)
            rows.push_back ({ rowId (row), static_cast<std::uint16_t> (std::min (scaled, 65'535.0)),
                              static_cast<std::uint8_t> (std::min (rate.priority, 255U)) });
    }

    std::stable_sort (rows.begin(), rows.end(),
                      [] (const auto& left, const auto& right)
                      { return left.tenthPerSecond > right.tenthPerSecond; });
    rows.resize (std::min (rows.size(), maxOfferedRows));
    return rows;
}

void setOwnWorks (DemandState& state, const std::string& ownName, const std::string& service,
                  const std::vector<RowWork>& works)
{
    auto& own = state.peers[ownName].works;

    if (works.empty())
        own.erase (service);
    else
        own[service] = plausible (works);

    state.areWorksStale = true;
}

std::vector<ServiceWork> ownWorks (const DemandState& state, const std::string& ownName)
{
    std::vector<ServiceWork> reports;
    const auto own = state.peers.find (ownName);

    if (own == state.peers.end())
        return reports;

    for (const auto& [service, rows] : own->second.works)
    {
        if (reports.size() == maxWorkServices)
            break;

        auto& report = reports.emplace_back (ServiceWork{ service, {} });

        for (const auto& [row, ms] : rows)
            report.works.push_back ({ row, ms });
    }

    return reports;
}

std::vector<ServiceWork> dueWorks (DemandState& state, TimePoint now, const std::string& ownName)
{
    const auto own = state.peers.find (ownName);

    if (own == state.peers.end() || own->second.works.empty() ||
        now - state.worksSent < workPause (changeOf (own->second.works, state.sentWorks)))
        return {};

    state.sentWorks = own->second.works;
    state.worksSent = now;
    return ownWorks (state, ownName);
}

void recordPeerDemand (DemandState& state, TimePoint now, const std::string& peer,
                       const OfferedReport& report)
{
    auto& demand = state.peers[peer];
    recordTrend (state, now, demand, report.offered);
    demand.reported = now;
    demand.offered = report.offered;
    demand.offered.resize (std::min (demand.offered.size(), maxOfferedRows));

    if (! report.works.empty())
        demand.works.clear();

    for (const auto& it : report.works)
        recordPeerWorks (state, now, peer, it.service, it.works);
}

void recordPeerWorks (DemandState& state, TimePoint now, const std::string& peer, const std::string& service,
                      const std::vector<RowWork>& works)
{
    auto& demand = state.peers[peer];
    demand.worksReported = now;
    state.areWorksStale = true;

    if (! works.empty() && (demand.works.size() < maxWorkServices || demand.works.contains (service)))
        demand.works[service] = plausible (works);
}

void dropPeerVolumes (DemandState& state, const std::string& peer)
{
    const auto found = state.peers.find (peer);

    if (found != state.peers.end())
        found->second.offered.clear();
}

std::map<std::uint32_t, OfferedRate> fleetDemand (const DemandState& state, TimePoint now)
{
    std::map<std::uint32_t, OfferedRate> demand;

    for (const auto& [row, rate] : state.own)
        demand[rowId (row)] = { perSecond (rate, now), rate.priority };

    const double kept = decayed (1, now - state.trend.updated, trendHalfLifeS);
    const double ratio = 1 + kept * (significantTrend (state.trend) - 1);

    for (const auto& [peer, it] : state.peers)
    {
        const double factor = extrapolation (state.trend, ratio, now - it.reported);

        for (const auto& offered : it.offered)
        {
            auto& rate = demand.try_emplace (offered.id, OfferedRate{ 0, offered.priority }).first->second;
            rate.perSecond += factor * offered.tenthPerSecond / tenths;
        }
    }

    return demand;
}

void refreshWorks (DemandState& state, TimePoint now, const std::string& ownName)
{
    const auto removed = std::erase_if (state.peers,
                                        [&] (const auto& it)
                                        {
                                            const auto& [name, peer] = it;
                                            return name != ownName && peer.offered.empty() &&
                                                   now - peer.worksReported > worksExpiry;
                                        });
    state.areWorksStale = state.areWorksStale || removed > 0;

    for (auto& [name, peer] : state.peers)
    {
        if (name == ownName || peer.works.empty() || now - peer.worksReported <= worksExpiry)
            continue;

        peer.works.clear();
        state.areWorksStale = true;
    }

    if (! state.areWorksStale || now - state.worksComputed < minRefreshPause)
        return;

    state.worksComputed = now;
    state.areWorksStale = false;
    state.works.clear();
    // A row that is split among services brings work to each of them by its part of the requests. The mean is
    // taken over all daemons that measure the row, whichever service it runs at.
    std::map<std::string, unsigned> measuring;

    for (const auto& [name, peer] : state.peers)
    {
        std::set<std::string> rows;

        for (const auto& [service, works] : peer.works)
        {
            for (const auto& [row, ms] : works)
            {
                state.works[service][row] += ms;
                rows.insert (row);
            }
        }

        for (const auto& row : rows)
            ++measuring[row];
    }

    for (auto& [service, works] : state.works)
    {
        for (auto& [row, ms] : works)
            ms /= measuring[row];
    }
}

} // namespace anisehold::overload
