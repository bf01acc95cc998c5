/** Divides the admitted share of a row among groups of callers: the tenants that exceed their usual demand,
    and the other callers of each zone.

    Weighted max-min fairness: a group within its usual demand is refused least, and a group at many times its
    usual bears the cost of the excess itself; what a group leaves goes to the others. The demand that is
    admitted over all groups stays that of the row's share. Groups up to a fourth above their usual demand
    count as within it, so that zones at their usual demand get the same share in spite of chance, and so does
    a wave that raises the demand of all zones.

    Owns no state; relies on DemandState (caller_demand). Pure.
*/
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fairness/caller_demand.hpp"

namespace anisehold::fairness
{

/** A group of callers of one row. */
struct Group
{
    double offered = 0; /**< Requests per second. */
    double excess = 1;  /**< Demand as a multiple of the usual one; 1 if it isn't clearly above. */
};

/** The groups of one row at one time. */
struct RowGroups
{
    std::map<std::string, Group> zones;   /**< Without the callers in `tenants`. */
    std::map<std::string, Group> tenants; /**< Tenants in excess, at most `maxGroups`. */
    /** Demand of this daemon's callers: those in `tenants`, and the rest. */
    std::map<std::string, double> ownTenants;
    double ownRest = 0;
};

/** Returns the groups of a row by this daemon's demand and the current reports of peers. */
RowGroups groupsOf (const DemandState&, TimePoint now, const std::string& row);

/** Returns the level that yields the row's share: a group is admitted with min (1, level / excess). */
double levelFor (const RowGroups&, double rowShare);

/** Returns the admitted share of a group at a level. */
double shareAt (double level, const Group&);

/** Returns the group of a request, or a group without excess if it isn't known. */
Group groupOf (const RowGroups&, const std::string& ownZone, const std::string& tenant);

/** Returns the share of this daemon's own demand that a level admits. */
double ownShare (const RowGroups&, const std::string& ownZone, double level);

} // namespace anisehold::fairness
