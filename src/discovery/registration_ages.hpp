/** How long registrations in the store have gone without being written again.

    Registrations have no lease, so that none lapses while the store is away. Every daemon writes its own
   again now and then; one that stays unchanged for long belongs to a machine that is gone. Ages are counted
   by this process's own clock from when it first saw a revision. Owns what was seen; the sidecar lists and
   removes. Pure.
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
    std::uint64_t revision = 0; /**< Rises whenever the registration is written. */
};

/** What was seen of the registrations so far. */
struct RegistrationAges
{
    struct Seen
    {
        std::uint64_t revision = 0;
        TimePoint since;
    };

    std::map<std::string, Seen> seen;
};

/** How often a daemon writes its registration again. Chosen, not measured. */
inline constexpr seconds registrationPeriod{ 300 };
/** A registration that missed three writings, and the spread of a period, belongs to nobody. */
inline constexpr seconds registrationLifetime{ 4 * registrationPeriod };

/** Takes in a whole listing; returns the registrations that nobody has written for their lifetime. */
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
