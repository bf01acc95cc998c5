/** Determines which daemons count the tenants' requests, and which share of the quotas each of them may
   grant.

    Tenants are divided into a few groups. Every member of the fleet holds an equal share of the quotas of
   each group, and leases it to one daemon, the group's owner. Members rank the daemons by rendezvous hash,
   and choose the first one that they are in touch with in both directions. Without faults all choose the same
    owner, which grants the whole quotas. In a network partition each side has an owner for the shares of its
    members. The leases of one share never overlap, so that all owners together never grant more than a quota:

    - An owner uses a lease for a time that begins when it sent the update which the member has received.
    - A member leases a share to another daemon only after that time, measured from the receipt and with an
      allowance for clocks of different rates; or after the previous owner has received the update that ends
      the lease, has restarted, or has left the fleet. A refused connection doesn't show that an owner has
      ended, since a partition may refuse connections, too.
    - A member that has just started may have leased its shares before. It waits until all other members have
      heard of its start and have dropped those leases, or until the leases have ended.

    Only owners and their members exchange updates, so that the number of updates grows with the fleet times
    the number of groups. A daemon that is in touch with nobody of a higher rank offers itself as the owner to
    all of a lower rank.

    Times are on the boot clock of one daemon each; a daemon only compares its own readings, which the updates
    return. Relies on sidecar/quota_exchange for members and updates. Pure.
*/
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/time_types.hpp"
#include "tenancy/tenancy_messages.hpp"
#include "tenancy/tenant_types.hpp"

namespace anisehold::tenancy
{

inline constexpr std::size_t numQuotaGroups = 8;
/** Number of a group, below `numQuotaGroups`. */
using QuotaGroup = std::size_t;
using QuotaGroups = std::bitset<numQuotaGroups>;

/** Returns the group that a tenant belongs to. */
QuotaGroup groupOf (const TenantName& tenant);

/** Interval of the updates between two members, and for how long a lease is valid. */
struct LeaseTimes
{
    Duration period{};
    Duration lease{};
};

/** Returns the times of a fleet with `numMembers` daemons. */
LeaseTimes leaseTimes (std::size_t numMembers);

/** The leases that one daemon has given and received. */
class QuotaLeases
{
public:
    /** @param bootId identifies this process; @param started when it started */
    QuotaLeases (std::string ownName, std::uint64_t bootId, TimePoint started);

    /** Sets the other members of the fleet, whether or not they can be reached. This daemon has no share
        before that. */
    void setMembers (const std::set<std::string>& others);
    /** This daemon leaves the fleet: it is no owner any more, and the others don't send it updates. */
    void leave() { isLeaving = true; }

    /** Handles a member's update. Returns true if the member should get an update at once. */
    bool receive (TimePoint now, const LeaseUpdate& update);

    /** Returns this daemon's update for a member, which must be sent. */
    LeaseUpdate updateFor (TimePoint now, const std::string& member);
    /** Returns the members that get an update once a period. */
    std::vector<std::string> contacts (TimePoint now) const;
    /** Returns the members that have not been told of all leases that this daemon would give or end now. */
    std::vector<std::string> membersToUpdate (TimePoint now) const;

    /** Returns the daemon that this daemon requests tokens of the group's tenants from. */
    const std::string& ownerOf (TimePoint now, QuotaGroup group) const;
    /** Returns which share of the quotas of the group's tenants this daemon may grant now: 0 to 1. */
    double shareOf (TimePoint now, QuotaGroup group);
    LeaseTimes times() const { return leaseTimes (members.size() + 1); }

private:
    /** What the updates of another member said. */
    struct Member
    {
        std::uint64_t bootId = 0; /**< 0 before the first update. */
        std::int64_t sentNs = 0;  /**< The sender's clock in its latest update. */
        Duration lease{};         /**< Validity of leases, as told by the sender. */
        TimePoint receivedAt{};
        /** When this daemon sent the newest update that the member has received. */
        std::optional<TimePoint> reachedAt;
        Duration ownLease{}; /**< Validity of leases in that update. */
        QuotaGroups leased;  /**< Groups whose share the member leases to this daemon. */
        QuotaGroups told;    /**< Leases in the latest update to the member. */
    };

    /** The lease of this daemon's own share of one group. */
    struct Lease
    {
        std::string owner;
        std::uint64_t ownerBootId = 0;
        TimePoint ends;                       /**< The owner uses the lease until then at most. */
        std::optional<TimePoint> revokedAt{}; /**< When the update that ends the lease was sent. */
    };

    bool isInTouch (TimePoint now, const Member& member) const;
    /** Whether a lease that the member gave to this daemon is valid. */
    static bool isUsable (TimePoint now, const Member& member);
    /** Whether this daemon has no lease of before its start. */
    bool isReady (TimePoint now) const;
    bool mayLease (TimePoint now, QuotaGroup group, const std::string& owner) const;
    bool hasEnded (const Lease& lease) const;
    void updateOwnLease (TimePoint now, QuotaGroup group);
    /** Groups whose share this daemon may lease to another one now, by the name of that one. */
    using LeasesByOwner = std::map<std::string, QuotaGroups>;
    LeasesByOwner leasesToGive (TimePoint now) const;
    TimePoint nextSendTime (TimePoint now);

    std::string ownName;
    std::uint64_t ownBootId;
    TimePoint started;
    std::map<std::string, Member> members;
    /** All daemons by rendezvous score, highest first, for each group. Empty before the members are known. */
    std::array<std::vector<std::string>, numQuotaGroups> rankings;
    std::array<std::optional<Lease>, numQuotaGroups> leases;
    TimePoint lastSent{};
    bool isLeaving = false;
};

} // namespace anisehold::tenancy
