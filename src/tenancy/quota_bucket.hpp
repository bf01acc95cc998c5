/** Counts one tenant's requests over the whole fleet, at the tenant's owner.

    Every tenant has one owner among the daemons (quota_owner.hpp). The other daemons get tokens from the
    owner, one per request, and use them within a short time (token_cache.hpp). The count is therefore exact
    however a tenant's requests are distributed over the daemons. Equal shares per daemon would be less than
    one request a second for a small tenant. In a simulation with 71 daemons, a typical tenant is served
    completely, with equal shares only 0.73 of it; a tenant at five times its quota runs 599 requests in five
    seconds where 680 are allowed (docs/design/tenants.md). Pure.
*/
#pragma once

#include <algorithm>

#include "protocol/retry_after.hpp"
#include "protocol/time_types.hpp"
#include "tenancy/tenant_types.hpp"

namespace anisehold::tenancy
{

/** Initial tokens of a new owner, which does not know what its predecessor granted. Fewer than the 20
    requests by which the fleet may exceed its quota without an exchange, so that single requests are served
    at once. */
inline constexpr double initialOwnerTokens = 8;

/** The token bucket of one tenant. */
struct QuotaBucket
{
    QuotaTerms terms;
    double tokens = 0;
    TimePoint filled;      /**< Time for which `tokens` is correct. */
    TimePoint queueEnds{}; /**< Time at which all requests refused so far could have been served one after the
                              other. */
};

/** The owner's response to a request for tokens. */
struct QuotaGrant
{
    unsigned granted = 0;
    Duration untilNext{};  /**< Time until the next token. */
    Duration retryAfter{}; /**< When a refused request may be retried: after all requests refused earlier. */
};

/** Returns the bucket of an owner whose fleet membership has been stable since `settled`. */
inline QuotaBucket makeBucket (const QuotaTerms& terms, TimePoint now, TimePoint settled)
{
    const double settledS = std::chrono::duration<double> (now - settled).count();
    const double tokens = initialOwnerTokens + terms.ratePerS * std::max (settledS, 0.0);
    return { terms, std::min (tokens, std::max (terms.burst, 1.0)), now, {} };
}

/** Adds the tokens earned since the last update, and applies changed terms. */
inline void fill (QuotaBucket& bucket, TimePoint now, const QuotaTerms& terms)
{
    const double elapsedS = std::chrono::duration<double> (now - bucket.filled).count();
    const double maxTokens = std::max (terms.burst, 1.0);
    bucket.tokens = std::min (bucket.tokens + bucket.terms.ratePerS * elapsedS, maxTokens);
    bucket.terms = terms;
    bucket.filled = now;
}

/** Grants up to `wanted` tokens. */
inline QuotaGrant takeTokens (QuotaBucket& bucket, TimePoint now, const QuotaTerms& terms, unsigned wanted)
{
    fill (bucket, now, terms);
    QuotaGrant grant;
    grant.granted = std::min (wanted, static_cast<unsigned> (std::max (bucket.tokens, 0.0)));
    bucket.tokens -= grant.granted;
    const auto timeOf = [&] (double tokens)
    {
        const std::chrono::duration<double> time (std::max (tokens, 0.0) / terms.ratePerS);
        return std::chrono::duration_cast<Duration> (time);
    };
    grant.untilNext = timeOf (1.0 - bucket.tokens);
    const unsigned refused = wanted - grant.granted;

    if (refused > 0)
    {
        bucket.queueEnds = std::max (bucket.queueEnds, now) + timeOf (refused);
        bucket.queueEnds = std::min<TimePoint> (bucket.queueEnds, now + retry_after::kMaxQuotaExceeded);
        grant.retryAfter = std::max (grant.untilNext, bucket.queueEnds - now);
    }

    return grant;
}

/** Returns tokens that were granted but not used. */
inline void returnTokens (QuotaBucket& bucket, TimePoint now, const QuotaTerms& terms, unsigned count)
{
    fill (bucket, now, terms);
    bucket.tokens = std::min (bucket.tokens + count, std::max (terms.burst, 1.0));
}

} // namespace anisehold::tenancy
