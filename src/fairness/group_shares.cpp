#include "fairness/group_shares.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <unordered_map>

namespace anisehold::fairness
{
namespace
{

/** Up to `tolerance` times its usual demand a group has no excess. From `fullExcess` times on its excess is
   the full ratio; in between it is interpolated. */
constexpr double tolerance = 1.25;
constexpr double fullExcess = 1.5;
/** Part of the zones, by their usual demand, whose multiple of it is common to all. Less than half, so that
    one of two zones can be in excess. */
constexpr double commonPart = 0.3;
/** An excess must be larger than this many standard deviations of the usual count. */
constexpr double minDeviations = 4;
constexpr double unitsPerRate = 1'000;

/** Sums over daemons. Daemons that don't know their usual demand count in `offered` only. */
struct Sum
{
    double offered = 0;
    double offeredKnown = 0;
    double usualKnown = 0;

    void add (const Demand& demand, double sign = 1)
    {
        offered += sign * demand.offered;

        if (! demand.isUsualKnown)
            return;

        offeredKnown += sign * demand.offered;
        usualKnown += sign * demand.usual;
    }
};

Demand demandIn (const GroupDemand& group)
{
    return { group.offered / unitsPerRate, group.usual / unitsPerRate, group.isUsualKnown };
}

/** Returns the excess of a demand that is `ratio` times the usual one: 1 up to the tolerance, and the ratio
    itself well above. */
double excessAt (double ratio)
{
    if (ratio <= tolerance)
        return 1;

    return std::min (ratio, 1 + (ratio - tolerance) * (fullExcess - 1) / (fullExcess - tolerance));
}

/** Returns the group of a sum. `common`: the multiple of the usual demand that most callers of the row
    request. */
Group groupBy (const Sum& sum, double common)
{
    // A group without a usual demand is judged by the smallest one that can be told from none.
    const double usual = common * std::max (sum.usualKnown, 1 / recentWindowS());
    const double surplusCount = (sum.offeredKnown - usual) * recentWindowS();
    const bool isChance = surplusCount < minDeviations * std::sqrt (usual * recentWindowS());
    return { std::max (sum.offered, 0.0), isChance ? 1.0 : excessAt (sum.offeredKnown / usual) };
}

bool isExcess (const Demand& demand)
{
    Sum sum;
    sum.add (demand);
    return groupBy (sum, 1).excess > 1;
}

/** Demand of one row, without copies of the names: in a large fleet there are thousands of entries. */
struct RowSums
{
    std::unordered_map<std::string_view, Sum> zones;
    std::unordered_map<std::string_view, Sum> tenants;
};

/** Calls `visit (zone, tenant, demand)` for each group of the row in the current reports of peers. */
template <typename Visit>
void forEachReported (const DemandState& state, TimePoint now, const std::string& row, Visit visit)
{
    for (const auto& [name, peer] : state.peers)
    {
        if (! isCurrent (peer, now))
            continue;

        for (const auto& each : peer.report)
            if (each.row == row)
                for (const auto& it : each.groups)
                    visit (peer.zone, it.tenant, demandIn (it));
    }
}

RowSums sumsOf (const DemandState& state, TimePoint now, const std::string& row)
{
    RowSums sums;
    forEachReported (state, now, row,
                     [&] (std::string_view zone, std::string_view tenant, const Demand& demand)
                     { (tenant.empty() ? sums.zones[zone] : sums.tenants[tenant]).add (demand); });
    const auto own = state.rows.find (row);

    if (own == state.rows.end())
        return sums;

    sums.zones[state.ownZone].add (demandOf (state, now, own->second.all));

    for (const auto& [tenant, counts] : own->second.tenants)
    {
        const auto demand = demandOf (state, now, counts);

        // Most tenants are in excess neither here nor by a peer's report, and need no sum.
        if (sums.tenants.contains (tenant) || isExcess (demand))
            sums.tenants[tenant].add (demand);
    }

    return sums;
}

/** Returns the tenants with the largest excess. */
std::set<std::string_view> tenantsInExcess (const RowSums& sums)
{
    std::vector<std::pair<double, std::string_view>> found;

    for (const auto& [tenant, sum] : sums.tenants)
        if (groupBy (sum, 1).excess > 1)
            found.emplace_back (sum.offeredKnown - sum.usualKnown, tenant);

    std::sort (found.rbegin(), found.rend());
    found.resize (std::min (found.size(), maxGroups));
    std::set<std::string_view> tenants;

    for (const auto& [surplus, tenant] : found)
        tenants.insert (tenant);

    return tenants;
}

/** Removes the demand of the tenants from that of their zones. */
void removeTenants (const DemandState& state, TimePoint now, const std::string& row,
                    const std::set<std::string_view>& tenants, RowSums& sums)
{
    if (tenants.empty())
        return;

    forEachReported (state, now, row,
                     [&] (std::string_view zone, std::string_view tenant, const Demand& demand)
                     {
                         if (tenants.contains (tenant))
                             sums.zones[zone].add (demand, -1);
                     });
    const auto own = state.rows.find (row);

    if (own == state.rows.end())
        return;

    for (const auto& [tenant, counts] : own->second.tenants)
        if (tenants.contains (tenant))
            sums.zones[state.ownZone].add (demandOf (state, now, counts), -1);
}

/** Returns the multiple of the usual demand that a part of the zones doesn't exceed; at least 1. A wave of
 * all callers is no excess of any. */
double commonRatio (const RowSums& sums)
{
    std::vector<std::pair<double, double>> ratios; // With the usual demand.
    double whole = 0;

    for (const auto& [zone, sum] : sums.zones)
    {
        if (sum.usualKnown * recentWindowS() < 1)
            continue;

        ratios.emplace_back (sum.offeredKnown / sum.usualKnown, sum.usualKnown);
        whole += sum.usualKnown;
    }

    std::sort (ratios.begin(), ratios.end());
    double below = 0;

    for (const auto& [ratio, usual] : ratios)
        if (below += usual; below >= commonPart * whole)
            return std::max (ratio, 1.0);

    return 1;
}

std::vector<Group> all (const RowGroups& groups)
{
    std::vector<Group> found;

    for (const auto& [name, it] : groups.zones)
        found.push_back (it);

    for (const auto& [name, it] : groups.tenants)
        found.push_back (it);

    return found;
}

} // namespace

RowGroups groupsOf (const DemandState& state, TimePoint now, const std::string& row)
{
    auto sums = sumsOf (state, now, row);
    RowGroups groups;
    const auto tenants = tenantsInExcess (sums);
    removeTenants (state, now, row, tenants, sums);
    const double common = commonRatio (sums);

    for (const auto tenant : tenants)
        groups.tenants[std::string (tenant)] = groupBy (sums.tenants[tenant], common);

    for (const auto& [zone, sum] : sums.zones)
        groups.zones[std::string (zone)] = groupBy (sum, common);

    const auto own = state.rows.find (row);

    if (own == state.rows.end())
        return groups;

    groups.ownRest = demandOf (state, now, own->second.all).offered;

    for (const auto& [tenant, group] : groups.tenants)
    {
        const auto counts = own->second.tenants.find (tenant);

        if (counts == own->second.tenants.end())
            continue;

        const double offered = demandOf (state, now, counts->second).offered;
        groups.ownTenants[tenant] = offered;
        groups.ownRest = std::max (0.0, groups.ownRest - offered);
    }

    return groups;
}

double levelFor (const RowGroups& groups, double rowShare)
{
    auto byExcess = all (groups);
    std::sort (byExcess.begin(), byExcess.end(),
               [] (const auto& left, const auto& right) { return left.excess < right.excess; });
    double left = 0;    // Admitted demand that remains for the groups that are not served completely.
    double weights = 0; // Their demand at a level of 1.

    for (const auto& it : byExcess)
    {
        left += rowShare * it.offered;
        weights += it.offered / it.excess;
    }

    if (weights <= 0)
        return rowShare;

    const double highest = byExcess.back().excess;

    for (const auto& it : byExcess)
    {
        if (left < it.excess * weights)
            return std::clamp (left / weights, 0.0, highest);

        left -= it.offered;
        weights -= it.offered / it.excess;
    }

    return highest;
}

double shareAt (double level, const Group& group)
{
    return std::clamp (level / group.excess, 0.0, 1.0);
}

Group groupOf (const RowGroups& groups, const std::string& ownZone, const std::string& tenant)
{
    if (const auto it = groups.tenants.find (tenant); it != groups.tenants.end())
        return it->second;

    const auto zone = groups.zones.find (ownZone);
    return zone == groups.zones.end() ? Group{} : zone->second;
}

double ownShare (const RowGroups& groups, const std::string& ownZone, double level)
{
    double demand = groups.ownRest;
    double admitted = groups.ownRest * shareAt (level, groupOf (groups, ownZone, ""));

    for (const auto& [tenant, offered] : groups.ownTenants)
    {
        demand += offered;
        admitted += offered * shareAt (level, groups.tenants.at (tenant));
    }

    return demand > 0 ? admitted / demand : shareAt (level, groupOf (groups, ownZone, ""));
}

} // namespace anisehold::fairness
