/** The count of one tenant's requests over the whole fleet, as its owner keeps it.

    Every tenant has one owner among the daemons (quota_owner.hpp). The others get tokens from it, one a
    request, and use them within a short time (token_cache.hpp). So the count is exact, whatever share of
    a tenant's requests comes to which daemon, and an equal share a daemon, which for a small tenant is
    less than one request a second, isn't needed. In simulated time, 71 daemons: a usual tenant is served
    whole, by equal shares to 0.73; one at five times its quota runs 599 requests in five seconds where
    680 are allowed (docs/design/tenants.md). Pure.
*/
#pragma once

#include <algorithm>

#include "protocol/retry_after.hpp"
#include "protocol/time_types.hpp"
#include "tenancy/tenant_types.hpp"

namespace anisehold::tenancy
{

/** Tokens of a new owner, which doesn't know what its predecessor gave out: fewer than what the fleet may go
    over its quota for want of an exchange (20 requests), so that single requests are served at once. Chosen,
    not measured. */
inline constexpr double initialOwnerTokens = 8;

/** Tokens of one tenant. */
struct QuotaBucket
{
    QuotaTerms terms;
    double tokens = 0;
    TimePoint filled; /**< When `tokens` was right. */
    TimePoint
        queueEnds{}; /**< When all that were refused so far could have been served, one after the other. */
};

/** What an owner gives. */
struct QuotaGrant
{
    unsigned granted = 0;
    Duration untilNext{}; /**< When there will be another token. */
    Duration
        retryAfter{}; /**< When a refused request may come back: behind all that were refused before it. */
};

/** A bucket of an owner that has known its fleet since `settled`. */
inline QuotaBucket makeBucket (const QuotaTerms& terms, TimePoint now, TimePoint settled)
{
    const double settledS = std::chrono::duration<double> (now - settled).count();
    const double tokens = initialOwnerTokens + terms.ratePerS * std::max (settledS, 0.0);
    return { terms, std::min (tokens, std::max (terms.burst, 1.0)), now, {} };
}

/** Brings the tokens up to date, and takes on other terms. */
inline void fill (QuotaBucket& bucket, TimePoint now, const QuotaTerms& terms)
{
    const double passedS = std::chrono::duration<double> (now - bucket.filled).count();
    const double most = std::max (terms.burst, 1.0);
    bucket.tokens = std::min (bucket.tokens + bucket.terms.ratePerS * passedS, most);
    bucket.terms = terms;
    bucket.filled = now;
}

/** Gives up to `wanted` tokens. */
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

/** Tokens that were given but not used come back. */
inline void returnTokens (QuotaBucket& bucket, TimePoint now, const QuotaTerms& terms, unsigned count)
{
    fill (bucket, now, terms);
    bucket.tokens = std::min (bucket.tokens + count, std::max (terms.burst, 1.0));
}

} // namespace anisehold::tenancy
