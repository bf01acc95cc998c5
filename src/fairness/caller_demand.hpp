/** Demand of groups of callers, present and usual, and its report to peers.

    In deployment K (docs/design/shortage.md) one of 79 tenants sends several times its usual load while all
    others send theirs. A daemon counts the requests that clients offer it, by row and tenant; all of them
   come from its own zone. Peers' reports add up to the demand of zones and tenants in the whole fleet, since
   one daemon receives too few requests of a tenant to tell an excess from chance.

    The usual demand is unknown during the first seconds after the daemon's start, then the mean of these, and
    from then on a moving average with a half-life of two minutes. It hardly rises while an excess is being
    limited, so that the excess doesn't become usual.

    Owns DemandState. Plain state and free functions. Pure.
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/serialize_all.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::fairness
{

/** Maximum groups in a report, and maximum tenants per row that form a group of their own. */
inline constexpr std::size_t maxGroups = 32;
/** Maximum tenants whose demand a daemon counts, over all rows; others count with their zone only. */
inline constexpr std::size_t maxTenants = 8'192;

/** Demand of one group of callers, as one daemon reports it, in requests per 1,000 s. */
struct GroupDemand
{
    std::string tenant; /**< Empty for all callers of the sender's zone. */
    std::uint32_t offered = 0;
    std::uint32_t usual = 0;
    bool isUsualKnown = false;

    template <typename Archive>
    void serialize (Archive& archive, unsigned)
    {
        serialize_all (archive, tenant, offered, usual, isUsualKnown);
    }
};

/** Demand of the groups of one row, as one daemon reports it. */
struct RowReport
{
    std::string row;
    std::vector<GroupDemand> groups;

    template <typename Archive>
    void serialize (Archive& archive, unsigned)
    {
        serialize_all (archive, row, groups);
    }
};

/** At most `maxGroups` groups in all. */
using DemandReport = std::vector<RowReport>;

/** Requests of one group, decayed exponentially. */
struct DemandCounts
{
    double recent = 0;
    double slow = 0; /**< While learning, requests since the start; then the moving average's sum. */
    bool hasLearned = false;
    TimePoint updated;
};

/** Requests of one row. */
struct RowCounts
{
    DemandCounts all;
    std::map<std::string, DemandCounts> tenants;
    /** When the row was last limited; its groups are reported for some time after. */
    TimePoint limited;
};

/** The latest report of a peer. */
struct PeerDemand
{
    std::string zone;
    DemandReport report;
    TimePoint received;
};

struct DemandState
{
    std::string ownZone;
    TimePoint began; /**< Start of the daemon. */
    std::map<std::string, RowCounts> rows;
    std::map<std::string, PeerDemand> peers; /**< By daemon. */
    std::size_t tenantCount = 0;
};

/** Rates in requests per second. */
struct Demand
{
    double offered = 0;
    double usual = 0;
    bool isUsualKnown = false;
};

/** Records a client's request. `isExcess`: its group is limited for its excess. */
void recordOffered (DemandState&, TimePoint now, const std::string& row, const std::string& tenant,
                    bool isExcess);

/** Records that a share of the row's requests is being refused, so that its groups are reported. */
void recordLimited (DemandState&, TimePoint now, const std::string& row);

/** Returns the demand of a group of this daemon. */
Demand demandOf (const DemandState&, TimePoint now, const DemandCounts&);

/** Returns this daemon's report on the rows that are limited: each row's sum, and the tenants that exceed
    their usual demand most, here or by the reports of peers. Empty if no row is limited. */
DemandReport ownReport (const DemandState&, TimePoint now);

/** Records a peer's report. An empty one leaves the earlier one, which ages; one with too many groups is
    ignored. */
void recordPeerReport (DemandState&, TimePoint now, const std::string& peer, const std::string& zone,
                       const DemandReport&);

/** Removes old reports, and tenants that have long sent nothing. */
void expire (DemandState&, TimePoint now);

/** Whether the peer's report is recent enough to count. */
bool isCurrent (const PeerDemand&, TimePoint now);

/** Seconds of demand that `Demand::offered` is the mean of; for estimates of its scatter. */
double recentWindowS();

} // namespace anisehold::fairness
