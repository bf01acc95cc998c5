/** Detects registrations of live daemons that are missing from the store.

    The store may lose registrations without any call of their owners failing. The watchers of a zone compare
    the zone's reachable members with a listing, and write missing registrations on their owners' behalf. A
    listing may be some seconds old, so a registration only counts as missing if two consecutive listings lack
    it. Owns the registrations absent from the last listing; the sidecar lists and writes. Pure.
*/
#pragma once

#include <set>
#include <string>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::discovery
{

/** Time between two listings of a small fleet. Two listings fit into the first two seconds after the store
    has recovered. */
inline constexpr milliseconds listingPeriod{ 1'000 };
/** Additional time for each member, since the listing of a large fleet has more bytes: 1.6 s in total for
    295 members. */
inline constexpr milliseconds listingPeriodPerMember{ 2 };

/** Registrations absent from the last listing. */
struct MissingRegistrations
{
    std::set<std::string> absent;
};

/** Processes a listing; returns the keys of `expected` that this listing and the previous one lack. */
inline std::vector<std::string> findMissing (MissingRegistrations& state, const std::set<std::string>& listed,
                                             const std::vector<std::string>& expected)
{
    std::set<std::string> absent;
    std::vector<std::string> missing;

    for (const auto& it : expected)
    {
        if (listed.contains (it))
            continue;

        absent.insert (it);

        if (state.absent.contains (it))
            missing.push_back (it);
    }

    state.absent = std::move (absent);
    return missing;
}

} // namespace anisehold::discovery
