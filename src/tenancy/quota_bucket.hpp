/** Counts one tenant's requests over the whole fleet, at the tenant's owner.

    Every tenant has one owner among the daemons, or one on each side of a network partition for a share of
   its quota (quota_leases.hpp). The other daemons get tokens from the owner, one per request, and use them
   within a short time (token_cache.hpp). The count is therefore exact however a tenant's requests are
   distributed over the daemons. Equal shares per daemon would be less than one request a second for a small
   tenant. In a simulation with 71 daemons, a typical tenant is served completely, with equal shares only 0.73
   of it; a tenant at five times its quota runs 599 requests in five seconds where 680 are allowed
   (docs/design/tenants.md). Pure.
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
    TimePoint filled;        /**< Time for which `tokens` is correct. */
    double startedShare = 0; /**< The largest share of the quota for which initial tokens were added. */
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

/** Returns the terms of a share of the quota: 0 to 1. */
inline QuotaTerms shareOfTerms (const QuotaTerms& terms, double share)
{
    return { terms.ratePerS * share, terms.burst * share };
}

/** Adds the tokens earned since the last update, and applies changed terms. The lower rate counts for the
   time in between, since a changed share may have been another owner's for all of it. */
inline void fill (QuotaBucket& bucket, TimePoint now, const QuotaTerms& terms)
{
    const double elapsedS = std::chrono::duration<double> (now - bucket.filled).count();
    const double maxTokens = std::max (terms.burst, 1.0);
    const double ratePerS = std::min (bucket.terms.ratePerS, terms.ratePerS);
    bucket.tokens = std::min (bucket.tokens + ratePerS * elapsedS, maxTokens);
    bucket.terms = terms;
    bucket.filled = now;
}

/** Fills the bucket of an owner that has `share` of the quota now. */
inline void fillShare (QuotaBucket& bucket, TimePoint now, const QuotaTerms& terms, double share)
{
    fill (bucket, now, shareOfTerms (terms, share));
    const double gained = std::max (share - bucket.startedShare, 0.0);
    bucket.startedShare += gained;
    bucket.tokens =
        std::min (bucket.tokens + initialOwnerTokens * gained, std::max (terms.burst * share, 1.0));
}

/** Returns the bucket of a new owner that has `share` of the quota. */
inline QuotaBucket makeBucket (const QuotaTerms& terms, TimePoint now, double share)
{
    QuotaBucket bucket{ shareOfTerms (terms, share), 0, now };
    fillShare (bucket, now, terms, share);
    return bucket;
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
