/** The tenants that share a deployment, their keys, priorities and quotas, as configured by operators.
    Contains keys, so never write these values to a log. */
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

/** A secret that identifies the tenant of a request. Never written to a log, metric or message. */
using ApiKey = Strong<ApiKeyTag, std::string>;
using TenantName = Strong<TenantNameTag, std::string>;

/** A tenant's request quota, counted over the whole fleet. */
struct QuotaTerms
{
    double ratePerS = 0; /**< Requests per second; 0 for no limit. */
    double burst = 0;    /**< Requests beyond the rate that may arrive at once. */

    bool isLimited() const { return ratePerS > 0; }
    bool operator== (const QuotaTerms&) const = default;
};

/** The name, priority and quota of a tenant. */
struct TenantTerms
{
    TenantName name;
    std::optional<unsigned> priority; /**< Replaces the route's priority; 0 is the most important. */
    QuotaTerms quota;
};

/** All tenants and their keys. Empty in a deployment without tenants. */
struct KeyRing
{
    std::unordered_map<ApiKey, TenantName> holders;
    std::unordered_map<TenantName, TenantTerms> tenants;
    unsigned usualPriority =
        0; /**< The most common priority of tenants; used for requests without a tenant. */
};

/** Returns the terms of a tenant, or null. */
inline const TenantTerms* termsOf (const KeyRing& ring, const TenantName& name)
{
    const auto it = ring.tenants.find (name);
    return it == ring.tenants.end() ? nullptr : &it->second;
}

/** Returns the tenant that holds a key, or null. */
inline const TenantTerms* holderOf (const KeyRing& ring, const ApiKey& key)
{
    const auto it = ring.holders.find (key);
    return it == ring.holders.end() ? nullptr : termsOf (ring, it->second);
}

/** Sets `usualPriority`; call after all tenants were added to the ring. */
inline void setUsualPriority (KeyRing& ring)
{
    std::map<unsigned, std::size_t> counts;

    for (const auto& [name, it] : ring.tenants)
        ++counts[it.priority.value_or (0)];

    const auto mostCommon = std::max_element (
        counts.begin(), counts.end(), [] (const auto& a, const auto& b) { return a.second < b.second; });
    ring.usualPriority = mostCommon == counts.end() ? 0 : mostCommon->first;
}

/** Number of route priorities that a rank distinguishes; less important ones count as the last. */
inline constexpr unsigned routePriorities = 16;

/** Returns the importance of a request; 0 is the most important. The tenant's priority takes precedence, and
    the route's priority decides among tenants of the same priority. A call made by a server carries no key
    and belongs to no tenant, so it gets the most common tenant priority. */
inline unsigned rankOf (const KeyRing& ring, const TenantTerms* tenant, unsigned routePriority)
{
    const unsigned usual = ring.usualPriority;
    const unsigned first = tenant == nullptr ? usual : tenant->priority.value_or (usual);
    return first * routePriorities + std::min (routePriority, routePriorities - 1);
}

} // namespace anisehold::tenancy
