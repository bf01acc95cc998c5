/** Which registrations of living daemons are missing from the store.

    The store may lose registrations without any call of their owners showing it. The watchers of a zone
   compare its members that they hear with a listing, and write what is missing on their owners' behalf. A
   listing may be some seconds old, so only what two listings in a row lack is missing. Owns what the last
   listing lacked; the sidecar lists and writes. Pure.
*/
#pragma once

#include <set>
#include <string>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::discovery
{

/** Time between two listings of a small fleet: two of them fit into the two seconds after the store's return.
    Chosen, not measured. */
inline constexpr milliseconds listingPeriod{ 1'000 };
/** More of it for each member: a listing of a large fleet has more bytes. At 295 members 1.6 s in all.
    Chosen, not measured. */
inline constexpr milliseconds listingPeriodPerMember{ 2 };

/** What the last listing lacked. */
struct MissingRegistrations
{
    std::set<std::string> absent;
};

/** Takes in a listing; returns those of `expected` that this one and the last one lack. */
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
