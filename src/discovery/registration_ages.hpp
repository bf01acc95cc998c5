/** Tracks how long registrations in the store have gone without a refresh.

    Registrations have no lease, so that none expires while the store is unavailable. Every daemon refreshes
    its registration periodically; one without a refresh for long belongs to a machine that is gone. Ages are
    measured with the clock of this process, from when it first saw a revision. Owns the revisions seen; the
    sidecar lists and removes registrations. Pure.
*/
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::discovery
{

/** One registration as the store lists it. */
struct Registration
{
    std::string key;
    std::uint64_t revision = 0; /**< Increases with every write of the registration. */
};

/** Revisions of the registrations in the last listing, each with the time of its first sight. */
struct RegistrationAges
{
    struct Seen
    {
        std::uint64_t revision = 0;
        TimePoint since;
    };

    std::map<std::string, Seen> seen;
};

/** Interval in which a daemon refreshes its registration. */
inline constexpr seconds registrationPeriod{ 300 };
/** A registration counts as abandoned after three missed refreshes, plus the random spread of an interval. */
inline constexpr seconds registrationLifetime{ 4 * registrationPeriod };

/** Processes a complete listing; returns the registrations without a refresh for their lifetime. */
inline std::vector<Registration> findAbandoned (RegistrationAges& ages, TimePoint now,
                                                const std::vector<Registration>& listing)
{
    std::map<std::string, RegistrationAges::Seen> seen;
    std::vector<Registration> abandoned;

    for (const auto& it : listing)
    {
        const auto known = ages.seen.find (it.key);
        const bool unchanged = known != ages.seen.end() && known->second.revision == it.revision;
        const auto since = unchanged ? known->second.since : now;
        seen[it.key] = { it.revision, since };

        if (now - since >= registrationLifetime)
            abandoned.push_back (it);
    }

    ages.seen = std::move (seen);
    return abandoned;
}

} // namespace anisehold::discovery
