#include "tenancy/quota_leases.hpp"

#include <algorithm>

#include "routing/rendezvous.hpp"

namespace anisehold::tenancy
{
namespace
{

constexpr milliseconds minPeriod{ 100 };
/** At most 250 updates a second are sent by one daemon. */
constexpr milliseconds periodPerMember{ 4 };
/** A lease outlasts the loss of an update, and pauses of some hundred milliseconds. */
constexpr double periodsPerLease = 3.5;
constexpr milliseconds minLease{ 600 };
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
    const bool same = std::equal (members.begin(), members.end(), others.begin(), others.end(),
                                  [] (const auto& known, const auto& name) { return known.first == name; });

    if (same)
        return;

    std::erase_if (members, [&] (const auto& entry) { return ! others.contains (entry.first); });

    for (const auto& name : others)
        if (name != ownName)
            members.try_emplace (name);

    std::set<TenantName> tenants;

    for (const auto& [tenant, ranking] : rankings)
        tenants.insert (tenant);

    rankings.clear();
    setTenants (tenants);
}

void QuotaLeases::setTenants (const std::set<TenantName>& limited)
{
    std::erase_if (rankings, [&] (const auto& entry) { return ! limited.contains (entry.first); });
    std::vector<std::string> names{ ownName };

    for (const auto& [name, member] : members)
        names.push_back (name);

    for (const auto& tenant : limited)
    {
        auto& ranking = rankings[tenant];

        if (! ranking.empty())
            continue;

        for (const auto index : routing::rendezvous_order (names, tenant.value))
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

    const auto before = member.leased.size();
    member.sentNs = update.sentNs;
    member.lease = std::min<Duration> (milliseconds (update.leaseMs), maxLease);
    member.receivedAt = now;
    member.leased.clear();

    if (isAnswer)
    {
        member.reachedAt = reachedAt;
        member.ownLease = std::min<Duration> (milliseconds (update.receivedLeaseMs), maxLease);

        for (const auto& tenant : update.tenants)
            member.leased.insert (TenantName (tenant));
    }

    return ! wasInTouch || member.leased.size() < before;
}

LeaseUpdate QuotaLeases::updateFor (TimePoint now, const std::string& name)
{
    return makeUpdate (now, name, leasesToGive (now));
}

std::map<std::string, LeaseUpdate> QuotaLeases::updatesForAll (TimePoint now)
{
    const auto toGive = leasesToGive (now);
    std::map<std::string, LeaseUpdate> updates;

    for (const auto& [name, member] : members)
        updates.emplace (name, makeUpdate (now, name, toGive));

    return updates;
}

LeaseUpdate QuotaLeases::makeUpdate (TimePoint now, const std::string& name, const LeasesByOwner& toGive)
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
    const auto given = toGive.find (name);
    member.told = given == toGive.end() ? std::set<TenantName>{} : given->second;

    for (const auto& tenant : member.told)
    {
        auto& lease = leases[tenant];
        const bool isRenewed = lease.owner == name && lease.ownerBootId == member.bootId;
        const auto ends = member.receivedAt + withClockAllowance (member.lease);
        lease = { name, member.bootId, isRenewed ? std::max (lease.ends, ends) : ends, std::nullopt };
        update.tenants.push_back (tenant.value);
    }

    for (auto& [tenant, lease] : leases)
        if (lease.owner == name && ! lease.revokedAt && ! member.told.contains (tenant))
            lease.revokedAt = sent;

    update.receivedBootId = member.bootId;
    update.receivedNs = member.sentNs;
    update.receivedLeaseMs = static_cast<std::uint32_t> (to_milliseconds (member.lease));
    return update;
}

std::vector<std::string> QuotaLeases::membersToUpdate (TimePoint now) const
{
    const auto toGive = leasesToGive (now);
    std::vector<std::string> names;

    for (const auto& [name, member] : members)
    {
        const auto found = toGive.find (name);
        const bool isSame = found == toGive.end() ? member.told.empty() : member.told == found->second;

        if (! isSame && member.bootId != 0)
            names.push_back (name);
    }

    return names;
}

const std::string& QuotaLeases::ownerOf (TimePoint now, const TenantName& tenant) const
{
    const auto found = rankings.find (tenant);

    if (found == rankings.end())
        return ownName;

    for (const auto& name : found->second)
    {
        const auto member = members.find (name);
        const bool isOwn = member == members.end();

        if (isLeaving ? ! isOwn : isOwn || isInTouch (now, member->second))
            return name;
    }

    return ownName;
}

double QuotaLeases::shareOf (TimePoint now, const TenantName& tenant)
{
    if (isLeaving || ! rankings.contains (tenant))
        return 0;

    updateOwnLease (now, tenant);
    const auto own = leases.find (tenant);
    std::size_t shares = own != leases.end() && own->second.owner == ownName ? 1 : 0;

    for (const auto& [name, member] : members)
    {
        const bool isValid = member.reachedAt && now < *member.reachedAt + member.ownLease;
        shares += isValid && member.leased.contains (tenant) ? 1 : 0;
    }

    return static_cast<double> (shares) / static_cast<double> (members.size() + 1);
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

bool QuotaLeases::mayLease (TimePoint now, const TenantName& tenant, const std::string& owner) const
{
    const auto member = members.find (owner);

    if (member != members.end() && ! member->second.reachedAt)
        return false;

    const auto found = leases.find (tenant);

    if (found == leases.end())
        return isReady (now);

    const auto& lease = found->second;
    const bool isSame =
        lease.owner == owner && (owner == ownName || lease.ownerBootId == member->second.bootId);
    return isSame || now >= lease.ends || hasEnded (lease);
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

void QuotaLeases::updateOwnLease (TimePoint now, const TenantName& tenant)
{
    const bool ownsIt = ownerOf (now, tenant) == ownName;
    const auto found = leases.find (tenant);
    const bool hasIt = found != leases.end() && found->second.owner == ownName;

    if (ownsIt && ! hasIt && mayLease (now, tenant, ownName))
        leases[tenant] = { ownName, ownBootId, now, std::nullopt };
    else if (! ownsIt && hasIt)
        leases.erase (found);
}

QuotaLeases::LeasesByOwner QuotaLeases::leasesToGive (TimePoint now) const
{
    LeasesByOwner toGive;

    for (const auto& [tenant, ranking] : rankings)
    {
        const auto& owner = ownerOf (now, tenant);

        if (owner != ownName && mayLease (now, tenant, owner))
            toGive[owner].insert (tenant);
    }

    return toGive;
}

TimePoint QuotaLeases::nextSendTime (TimePoint now)
{
    lastSent = std::max (now, lastSent + Duration (1));
    return lastSent;
}

} // namespace anisehold::tenancy
