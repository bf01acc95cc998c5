/** Which daemon counts a tenant's requests.

    Ranked by rendezvous hash over the members that this daemon reaches, without a message. Only a daemon that
    reaches more than half of the members names an owner, so that the two sides of a cut don't both serve the
    whole quota. Pure.
*/
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "routing/rendezvous.hpp"
#include "tenancy/tenant_types.hpp"

namespace anisehold::tenancy
{

/** The members of the fleet as one daemon sees them, itself included. */
struct OwnerCandidates
{
    std::vector<std::string> reachable; /**< Names of those that may own; none that leaves or is suspected. */
    std::size_t members = 0;            /**< All that haven't left, reachable or not. */
};

/** The index in `reachable` of a tenant's owner; nothing on the smaller side of a cut. */
inline std::optional<std::size_t> ownerOf (const OwnerCandidates& candidates, const TenantName& tenant)
{
    if (candidates.reachable.empty() || candidates.reachable.size() * 2 <= candidates.members)
        return std::nullopt;

    std::size_t best = 0;
    std::uint64_t bestScore = 0;

    for (std::size_t i = 0; i < candidates.reachable.size(); ++i)
    {
        const auto score = routing::rendezvous_score (candidates.reachable[i], tenant.value);

        if (i > 0 && score <= bestScore)
            continue;

        best = i;
        bestScore = score;
    }

    return best;
}

} // namespace anisehold::tenancy
