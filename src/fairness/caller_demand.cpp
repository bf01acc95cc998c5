#include "fairness/caller_demand.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>

#include "protocol/half_life.hpp"

namespace anisehold::fairness
{
namespace
{

/** Half-lives, in seconds, of the present and of the usual demand. */
constexpr double recentHalfLifeS = 1.5;
constexpr double usualHalfLifeS = 120;
/** Time after its start from which a daemon knows the usual demand of its callers. */
constexpr Duration learningTime = seconds (8);
/** Weight of a request that is part of an excess in the usual demand. */
constexpr double excessWeight = 0.05;
/** Age from which a peer's report is ignored. Reports are sent at most once a second, and no more often than
    records. */
constexpr Duration maxReportAge = milliseconds (3'500);
/** Time for which the groups of a row are reported after it was last limited. */
constexpr Duration reportTime = seconds (5);
/** Tenants without a request for this time are forgotten. */
constexpr Duration idleTime = seconds (600);
constexpr double unitsPerRate = 1'000;

double decayed (double value, Duration elapsed, double halfLifeS)
{
    return value * kept_part (elapsed, halfLifeS);
}

/** Returns the mean rate of the requests since the daemon's start. */
double meanRate (const DemandState& state, TimePoint now, const DemandCounts& counts)
{
    const double observedS =
        count_window_s (usualHalfLifeS) * (1 - decayed (1, now - state.began, usualHalfLifeS));
    return decayed (counts.slow, now - counts.updated, usualHalfLifeS) / observedS;
}

bool hasLearned (const DemandState& state, TimePoint now)
{
    return now - state.began >= learningTime;
}

void count (const DemandState& state, DemandCounts& counts, TimePoint now, double slowWeight)
{
    if (hasLearned (state, now) && ! counts.hasLearned)
    {
        // As if the learned rate had been offered all the time, so that an excess right after the start
        // changes it as slowly as later.
        counts.slow = meanRate (state, now, counts) * count_window_s (usualHalfLifeS);
        counts.hasLearned = true;
    }
    else
        counts.slow = decayed (counts.slow, now - counts.updated, usualHalfLifeS);

    counts.slow += slowWeight;
    counts.recent = decayed (counts.recent, now - counts.updated, recentHalfLifeS) + 1;
    counts.updated = now;
}

std::uint32_t units (double rate)
{
    constexpr double most = 4e9;
    return static_cast<std::uint32_t> (std::clamp (std::round (rate * unitsPerRate), 0.0, most));
}

GroupDemand groupOf (const std::string& tenant, const Demand& demand)
{
    return { tenant, units (demand.offered), units (demand.usual), demand.isUsualKnown };
}

bool isReported (const RowCounts& row, TimePoint now)
{
    return row.limited != TimePoint{} && now - row.limited < reportTime;
}

/** A tenant of a row that may be in excess. */
struct Candidate
{
    const std::string* row = nullptr;
    const std::string* tenant = nullptr;
    double excess = 0; /**< Demand above the usual one, over all daemons that reported it. */
};

/** Excess by row and tenant, without copies of the names. */
using Excess = std::unordered_map<std::string_view, std::unordered_map<std::string_view, double>>;

/** Returns the excess of tenants by the peers' reports. */
Excess peersExcess (const DemandState& state, TimePoint now)
{
    Excess excess;

    for (const auto& [name, peer] : state.peers)
    {
        if (! isCurrent (peer, now))
            continue;

        for (const auto& row : peer.report)
        {
            auto& ofRow = excess[row.row];

            for (const auto& it : row.groups)
                if (! it.tenant.empty() && it.isUsualKnown)
                    ofRow[it.tenant] += (1.0 * it.offered - it.usual) / unitsPerRate;
        }
    }

    return excess;
}

/** Returns the tenants of the reported rows, those with the largest excess first. Tenants that peers report
    are included even if they aren't in excess here; sums of only positive differences would be too high. */
std::vector<Candidate> candidates (const DemandState& state, TimePoint now)
{
    auto fleet = peersExcess (state, now);
    std::vector<Candidate> found;

    for (const auto& [name, row] : state.rows)
    {
        if (! isReported (row, now))
            continue;

        const auto& ofPeers = fleet[name];

        for (const auto& [tenant, counts] : row.tenants)
        {
            const auto demand = demandOf (state, now, counts);
            const auto known = ofPeers.find (tenant);
            const double excess = (demand.isUsualKnown ? demand.offered - demand.usual : 0) +
                                  (known == ofPeers.end() ? 0 : known->second);

            if (excess > 0)
                found.push_back ({ &name, &tenant, excess });
        }
    }

    std::sort (found.begin(), found.end(),
               [] (const auto& left, const auto& right) { return left.excess > right.excess; });
    return found;
}

} // namespace

double recentWindowS()
{
    return count_window_s (recentHalfLifeS);
}

bool isCurrent (const PeerDemand& peer, TimePoint now)
{
    return now - peer.received < maxReportAge;
}

void recordOffered (DemandState& state, TimePoint now, const std::string& row, const std::string& tenant,
                    bool isExcess)
{
    const double weight = isExcess ? excessWeight : 1;
    auto& counts = state.rows[row];
    count (state, counts.all, now, weight);

    if (tenant.empty())
        return;

    auto it = counts.tenants.find (tenant);

    if (it == counts.tenants.end())
    {
        if (state.tenantCount >= maxTenants)
            return;

        it = counts.tenants.emplace (tenant, DemandCounts{}).first;
        ++state.tenantCount;
    }

    count (state, it->second, now, weight);
}

void recordLimited (DemandState& state, TimePoint now, const std::string& row)
{
    state.rows[row].limited = now;
}

Demand demandOf (const DemandState& state, TimePoint now, const DemandCounts& counts)
{
    const auto elapsed = now - counts.updated;
    Demand demand{ decayed (counts.recent, elapsed, recentHalfLifeS) / recentWindowS(), 0,
                   hasLearned (state, now) };

    if (demand.isUsualKnown)
        demand.usual = counts.hasLearned
                           ? decayed (counts.slow, elapsed, usualHalfLifeS) / count_window_s (usualHalfLifeS)
                           : meanRate (state, now, counts);

    return demand;
}

DemandReport ownReport (const DemandState& state, TimePoint now)
{
    DemandReport report;

    for (const auto& [name, row] : state.rows)
        if (isReported (row, now) && report.size() < maxGroups)
            report.push_back ({ name, { groupOf ("", demandOf (state, now, row.all)) } });

    auto found = candidates (state, now);
    found.resize (std::min (found.size(), maxGroups - report.size()));

    for (const auto& it : found)
    {
        const auto& counts = state.rows.at (*it.row).tenants.at (*it.tenant);
        const auto row = std::find_if (report.begin(), report.end(),
                                       [&] (const auto& each) { return each.row == *it.row; });

        if (row != report.end())
            row->groups.push_back (groupOf (*it.tenant, demandOf (state, now, counts)));
    }

    return report;
}

void recordPeerReport (DemandState& state, TimePoint now, const std::string& peer, const std::string& zone,
                       const DemandReport& report)
{
    if (report.empty())
        return;

    std::size_t groups = 0;

    for (const auto& row : report)
        groups += row.groups.size();

    if (report.size() <= maxGroups && groups <= maxGroups)
        state.peers[peer] = { zone, report, now };
}

void expire (DemandState& state, TimePoint now)
{
    std::erase_if (state.peers, [&] (const auto& it) { return ! isCurrent (it.second, now); });

    for (auto& [name, row] : state.rows)
        state.tenantCount -=
            std::erase_if (row.tenants, [&] (const auto& it) { return now - it.second.updated > idleTime; });
}

} // namespace anisehold::fairness
