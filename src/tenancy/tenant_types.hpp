/** The tenants that share a deployment, their keys, priorities and quotas, as operators set them. Never
    written to a log: keys. */
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/strong_id.hpp"

namespace anisehold::tenancy
{

struct ApiKeyTag;
struct TenantNameTag;

/** A secret by which a caller shows whose request it sends. Never written to a log, metric or message. */
using ApiKey = Strong<ApiKeyTag, std::string>;
using TenantName = Strong<TenantNameTag, std::string>;

/** How much one tenant may send, counted over the whole fleet. */
struct QuotaTerms
{
    double ratePerS = 0; /**< Requests a second; 0 for no limit. */
    double burst = 0;    /**< Requests beyond the rate that may come at once. */

    bool isLimited() const { return ratePerS > 0; }
    bool operator== (const QuotaTerms&) const = default;
};

/** One tenant. */
struct TenantTerms
{
    TenantName name;
    std::optional<unsigned> priority; /**< Takes the place of the route's; 0 is the most important. */
    QuotaTerms quota;
};

/** All tenants, and the keys that each holds. Empty where a deployment has none. */
struct KeyRing
{
    std::unordered_map<ApiKey, TenantName> holders;
    std::unordered_map<TenantName, TenantTerms> tenants;
    unsigned usualPriority = 0; /**< Of most tenants: stands in for requests that belong to none. */
};

/** The terms of a tenant, or null. */
inline const TenantTerms* termsOf (const KeyRing& ring, const TenantName& name)
{
    const auto it = ring.tenants.find (name);
    return it == ring.tenants.end() ? nullptr : &it->second;
}

/** The tenant that holds a key, or null. */
inline const TenantTerms* holderOf (const KeyRing& ring, const ApiKey& key)
{
    const auto it = ring.holders.find (key);
    return it == ring.holders.end() ? nullptr : termsOf (ring, it->second);
}

/** Sets `usualPriority`, once all tenants are in the ring. */
inline void setUsualPriority (KeyRing& ring)
{
    std::map<unsigned, std::size_t> counts;

    for (const auto& [name, it] : ring.tenants)
        ++counts[it.priority.value_or (0)];

    const auto most = std::max_element (counts.begin(), counts.end(),
                                        [] (const auto& a, const auto& b) { return a.second < b.second; });
    ring.usualPriority = most == counts.end() ? 0 : most->first;
}

/** Routes' priorities that a rank keeps apart; less important ones count as the last of them. */
inline constexpr unsigned routePriorities = 16;

/** How important a request is; 0 is the most important. Its tenant's priority goes first, and its route's
    decides among tenants of the same one. A call that a server makes carries no key, so it belongs to no
    tenant: it stands among those of most tenants. */
inline unsigned rankOf (const KeyRing& ring, const TenantTerms* tenant, unsigned routePriority)
{
    const unsigned usual = ring.usualPriority;
    const unsigned first = tenant == nullptr ? usual : tenant->priority.value_or (usual);
    return first * routePriorities + std::min (routePriority, routePriorities - 1);
}

} // namespace anisehold::tenancy
