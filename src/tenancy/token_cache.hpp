/** The tokens of one tenant that a daemon holds, and how many it requests from the tenant's owner. Owned by
    sidecar/quota_exchange, one per tenant. Pure. */
#pragma once

#include <algorithm>
#include <cmath>

#include "protocol/time_types.hpp"

namespace anisehold::tenancy
{

/** How long a granted token may be used, counted from before it was requested. The requests that run in a
    window are therefore at most those granted in a window longer by this time: a sixteenth of a window of
    five seconds, while the quota may be exceeded by a tenth. */
inline constexpr milliseconds tokenLifetime{ 300 };
/** Tokens are requested in advance for this duration of the daemon's own demand, so that the owner of a busy
    tenant is not asked at every request. */
inline constexpr milliseconds tokenPrefetch{ 150 };
/** Half-life of the demand estimate, in seconds. */
inline constexpr double demandHalfLifeS = 1.0;

/** One daemon's tokens and demand of one tenant. */
struct TokenCache
{
    unsigned tokens = 0;
    TimePoint usableUntil{};
    unsigned unused = 0; /**< Tokens that expired, or that requests which did not run released; they are
                            returned to the owner. */
    double demand = 0;   /**< Exponentially decaying number of requests. */
    TimePoint demandUpdated{};
    TimePoint refusedUntil{}; /**< The owner had no token; it is not asked again before this time. */
    TimePoint retryAt{};      /**< When refused requests may be retried. */
};

inline void decayDemand (TokenCache& cache, TimePoint now)
{
    const double elapsedS = std::chrono::duration<double> (now - cache.demandUpdated).count();
    cache.demand *= std::exp2 (-std::min (elapsedS, 100.0) / demandHalfLifeS);
    cache.demandUpdated = now;
}

inline void recordDemand (TokenCache& cache, TimePoint now)
{
    decayDemand (cache, now);
    cache.demand += 1;
}

/** Takes one token, if available. */
inline bool takeToken (TokenCache& cache, TimePoint now)
{
    if (now >= cache.usableUntil)
    {
        cache.unused += cache.tokens;
        cache.tokens = 0;
    }

    if (cache.tokens == 0)
        return false;

    --cache.tokens;
    return true;
}

/** Records that a request which had taken a token did not run. */
inline void returnUnusedToken (TokenCache& cache)
{
    ++cache.unused;
}

/** Returns how many tokens to request while `waiting` requests need one. */
inline unsigned tokensWanted (const TokenCache& cache, unsigned waiting)
{
    const double perS = cache.demand * std::log (2.0) / demandHalfLifeS;
    const auto ahead = static_cast<unsigned> (perS * std::chrono::duration<double> (tokenPrefetch).count());
    return std::max (waiting, ahead);
}

/** Adds tokens from the owner's reply to a request that was sent at `sent`. */
inline void addGrant (TokenCache& cache, TimePoint sent, unsigned granted)
{
    cache.tokens += granted;
    cache.usableUntil = sent + tokenLifetime;
}

} // namespace anisehold::tenancy
