#include "tenancy/quota_leases.hpp"

#include <algorithm>

#include "routing/rendezvous.hpp"

namespace anisehold::tenancy
{
namespace
{

constexpr milliseconds minPeriod{ 100 };
/** At most 500 updates a second are sent by an owner. */
constexpr milliseconds periodPerMember{ 2 };
/** A lease outlasts the loss of an update, and pauses of some hundred milliseconds. */
constexpr double periodsPerLease = 3.5;
constexpr milliseconds minLease{ 500 };
/** Members of a very large fleet, and updates with invalid fields, can't extend a lease beyond this time. */
constexpr seconds maxLease{ 30 };
/** How far the rates of two clocks may differ, and a margin for their resolution. */
constexpr double maxClockRateRatio = 1.05;
constexpr milliseconds clockMargin{ 10 };

Duration withClockAllowance (Duration duration)
{
    const std::chrono::duration<double, std::nano> scaled = duration * maxClockRateRatio;
    return std::chrono::duration_cast<Duration> (scaled) + clockMargin;
}

std::int64_t nanoseconds (TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds> (time.time_since_epoch()).count();
}

} // namespace

QuotaGroup groupOf (const TenantName& tenant)
{
    return routing::rendezvous_score (tenant.value, "quota-group") % numQuotaGroups;
}

LeaseTimes leaseTimes (std::size_t numMembers)
{
    const auto period = std::max<Duration> (minPeriod, periodPerMember * static_cast<long long> (numMembers));
    const std::chrono::duration<double, std::nano> lease = periodsPerLease * period;
    return { period,
             std::clamp<Duration> (std::chrono::duration_cast<Duration> (lease), minLease, maxLease) };
}

QuotaLeases::QuotaLeases (std::string name, std::uint64_t bootId, TimePoint startTime)
    : ownName (std::move (name)),
      ownBootId (bootId),
      started (startTime)
{
}

void QuotaLeases::setMembers (const std::set<std::string>& others)
{
    const bool isSame = std::equal (members.begin(), members.end(), others.begin(), others.end(),
                                    [] (const auto& known, const auto& name) { return known.first == name; });

    if (isSame && ! rankings.front().empty())
        return;

    std::erase_if (members, [&] (const auto& entry) { return ! others.contains (entry.first); });

    for (const auto& name : others)
        members.try_emplace (name);

    std::vector<std::string> names (others.begin(), others.end());
    names.push_back (ownName);

    for (QuotaGroup group = 0; group < numQuotaGroups; ++group)
    {
        auto& ranking = rankings[group];
        ranking.clear();

        for (const auto index : routing::rendezvous_order (names, "quota-group-" + std::to_string (group)))
            ranking.push_back (names[index]);
    }
}

bool QuotaLeases::receive (TimePoint now, const LeaseUpdate& update)
{
    const auto found = members.find (update.sender);

    if (found == members.end() || update.bootId == 0)
        return false;

    auto& member = found->second;
    const bool isNewBoot = update.bootId != member.bootId;
    // A machine's clock goes on when the process restarts. It begins anew when the machine does, which takes
    // longer than a lease.
    const bool hasSameClock = ! isNewBoot || now < member.receivedAt + withClockAllowance (member.lease);
    const bool isLate = hasSameClock && update.sentNs <= member.sentNs;
    const bool isAnswer = update.receivedBootId == ownBootId;
    const TimePoint reachedAt = TimePoint (std::chrono::nanoseconds (update.receivedNs));

    if (isLate || (isAnswer && reachedAt > now))
        return false;

    const bool wasInTouch = ! isNewBoot && isInTouch (now, member);

    if (isNewBoot)
    {
        member = {};
        member.bootId = update.bootId;
    }

    const auto before = member.leased;
    member.sentNs = update.sentNs;
    member.lease = std::min<Duration> (milliseconds (update.leaseMs), maxLease);
    member.receivedAt = now;
    member.leased.reset();

    if (isAnswer)
    {
        member.reachedAt = reachedAt;
        member.ownLease = std::min<Duration> (milliseconds (update.receivedLeaseMs), maxLease);
        member.leased = QuotaGroups (update.groups);
    }

    const bool hasEndedLease = (before & ~member.leased).any();
    return ! wasInTouch || hasEndedLease;
}

LeaseUpdate QuotaLeases::updateFor (TimePoint now, const std::string& name)
{
    LeaseUpdate update;
    const auto sent = nextSendTime (now);
    update.sender = ownName;
    update.bootId = ownBootId;
    update.sentNs = nanoseconds (sent);
    update.leaseMs = static_cast<std::uint32_t> (to_milliseconds (times().lease));

    const auto found = members.find (name);

    if (found == members.end())
        return update;

    auto& member = found->second;
    member.told = leasesToGive (now)[name];

    for (QuotaGroup group = 0; group < numQuotaGroups; ++group)
    {
        auto& lease = leases[group];
        const bool isRenewed = lease && lease->owner == name && lease->ownerBootId == member.bootId;

        if (member.told.test (group))
        {
            const auto ends = member.receivedAt + withClockAllowance (member.lease);
            lease = { name, member.bootId, isRenewed ? std::max (lease->ends, ends) : ends, std::nullopt };
        }
        else if (isRenewed && ! lease->revokedAt)
        {
            lease->revokedAt = sent;
        }
    }

    update.groups = static_cast<std::uint32_t> (member.told.to_ulong());
    update.receivedBootId = member.bootId;
    update.receivedNs = member.sentNs;
    update.receivedLeaseMs = static_cast<std::uint32_t> (to_milliseconds (member.lease));
    return update;
}

std::vector<std::string> QuotaLeases::contacts (TimePoint now) const
{
    std::set<std::string> names;

    // The others drop leases of before the start when they hear of it.
    if (! isReady (now))
        for (const auto& [name, member] : members)
            names.insert (name);

    for (const auto& [name, member] : members)
        if ((isUsable (now, member) && member.leased.any()) || member.told.any())
            names.insert (name);

    for (QuotaGroup group = 0; group < numQuotaGroups; ++group)
    {
        const auto& ranking = rankings[group];
        const auto& owner = ownerOf (now, group);
        const auto own = std::find (ranking.begin(), ranking.end(), ownName);

        if (owner != ownName)
            names.insert (owner);
        else if (own != ranking.end())
            names.insert (std::next (own), ranking.end());
    }

    return { names.begin(), names.end() };
}

std::vector<std::string> QuotaLeases::membersToUpdate (TimePoint now) const
{
    auto toGive = leasesToGive (now);
    std::vector<std::string> names;

    for (const auto& [name, member] : members)
        if (member.bootId != 0 && member.told != toGive[name])
            names.push_back (name);

    return names;
}

const std::string& QuotaLeases::ownerOf (TimePoint now, QuotaGroup group) const
{
    for (const auto& name : rankings[group])
    {
        const auto member = members.find (name);
        const bool isOwn = member == members.end();

        if (isLeaving ? ! isOwn : isOwn || isInTouch (now, member->second))
            return name;
    }

    return ownName;
}

double QuotaLeases::shareOf (TimePoint now, QuotaGroup group)
{
    if (isLeaving || rankings[group].empty())
        return 0;

    updateOwnLease (now, group);
    const auto& own = leases[group];
    std::size_t shares = own && own->owner == ownName ? 1 : 0;

    for (const auto& [name, member] : members)
        shares += isUsable (now, member) && member.leased.test (group) ? 1 : 0;

    return static_cast<double> (shares) / static_cast<double> (members.size() + 1);
}

bool QuotaLeases::isUsable (TimePoint now, const Member& member)
{
    return member.reachedAt && now < *member.reachedAt + member.ownLease;
}

bool QuotaLeases::isInTouch (TimePoint now, const Member& member) const
{
    const auto silence = withClockAllowance (times().lease);

    // After a start, the first updates of the other members are awaited.
    if (member.bootId == 0)
        return now < started + silence;

    return member.reachedAt && now < *member.reachedAt + silence && now < member.receivedAt + silence;
}

bool QuotaLeases::isReady (TimePoint now) const
{
    const auto knowsStart = [] (const auto& entry) { return entry.second.reachedAt.has_value(); };
    return now >= started + withClockAllowance (times().lease) ||
           std::all_of (members.begin(), members.end(), knowsStart);
}

bool QuotaLeases::mayLease (TimePoint now, QuotaGroup group, const std::string& owner) const
{
    const auto member = members.find (owner);

    if (member != members.end() && ! member->second.reachedAt)
        return false;

    const auto& lease = leases[group];

    if (! lease)
        return isReady (now);

    const bool isSame =
        lease->owner == owner && (owner == ownName || lease->ownerBootId == member->second.bootId);
    return isSame || now >= lease->ends || hasEnded (*lease);
}

bool QuotaLeases::hasEnded (const Lease& lease) const
{
    if (lease.owner == ownName)
        return true;

    const auto found = members.find (lease.owner);

    // A daemon that leaves the fleet grants nothing before it tells the others.
    if (found == members.end())
        return true;

    const auto& owner = found->second;
    const bool isRevoked = lease.revokedAt && owner.reachedAt && *owner.reachedAt >= *lease.revokedAt;
    return owner.bootId != lease.ownerBootId || isRevoked;
}

void QuotaLeases::updateOwnLease (TimePoint now, QuotaGroup group)
{
    auto& lease = leases[group];
    const bool isOwner = ownerOf (now, group) == ownName;
    const bool hasLease = lease && lease->owner == ownName;

    if (isOwner && ! hasLease && mayLease (now, group, ownName))
        lease = { ownName, ownBootId, now, std::nullopt };
    else if (! isOwner && hasLease)
        lease.reset();
}

QuotaLeases::LeasesByOwner QuotaLeases::leasesToGive (TimePoint now) const
{
    LeasesByOwner toGive;

    for (QuotaGroup group = 0; group < numQuotaGroups; ++group)
    {
        const auto& owner = ownerOf (now, group);

        if (owner != ownName && mayLease (now, group, owner))
            toGive[owner].set (group);
    }

    return toGive;
}

TimePoint QuotaLeases::nextSendTime (TimePoint now)
{
    lastSent = std::max (now, lastSent + Duration (1));
    return lastSent;
}

} // namespace anisehold::tenancy
