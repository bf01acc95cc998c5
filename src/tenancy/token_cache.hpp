/** The tokens that one daemon holds of one tenant, and how many it requests from the tenant's owner. Owned by
    sidecar/quota_exchange, one a tenant. Pure. */
#pragma once

#include <algorithm>
#include <cmath>

#include "protocol/time_types.hpp"

namespace anisehold::tenancy
{

/** How long a granted token may be used, from before it was requested. With it, what runs in a window is at
    most what was granted in a window longer by as much: a sixteenth of a window of five seconds, where a
    tenth may be gone over; worked out. */
inline constexpr milliseconds tokenLifetime{ 300 };
/** Tokens are requested ahead for this time of the daemon's own demand, so that a busy tenant's owner isn't
    asked at every request. Chosen, not measured. */
inline constexpr milliseconds tokenPrefetch{ 150 };
/** Demand counts half after this time, in seconds. Chosen, not measured. */
inline constexpr double demandHalfLifeS = 1.0;

/** What one daemon keeps of one tenant. */
struct TokenCache
{
    unsigned tokens = 0;
    TimePoint usableUntil{};
    unsigned unused = 0; /**< Ran out, or came back from requests that didn't run; to be returned. */
    double demand = 0;   /**< Requests, older ones counting less. */
    TimePoint demandUpdated{};
    TimePoint refusedUntil{}; /**< The owner had none; it isn't asked before. */
    TimePoint retryAt{};      /**< When refused requests may come back. */
};

inline void decayDemand (TokenCache& cache, TimePoint now)
{
    const double passedS = std::chrono::duration<double> (now - cache.demandUpdated).count();
    cache.demand *= std::exp2 (-std::min (passedS, 100.0) / demandHalfLifeS);
    cache.demandUpdated = now;
}

inline void recordDemand (TokenCache& cache, TimePoint now)
{
    decayDemand (cache, now);
    cache.demand += 1;
}

/** Takes one token, if one is left. */
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

/** A request that had taken a token didn't run. */
inline void returnUnusedToken (TokenCache& cache)
{
    ++cache.unused;
}

/** How many tokens are requested while `waiting` requests need one. */
inline unsigned tokensWanted (const TokenCache& cache, unsigned waiting)
{
    const double perS = cache.demand * std::log (2.0) / demandHalfLifeS;
    const auto ahead = static_cast<unsigned> (perS * std::chrono::duration<double> (tokenPrefetch).count());
    return std::max (waiting, ahead);
}

/** The owner replied to a request for tokens that was sent at `sent`. */
inline void addGrant (TokenCache& cache, TimePoint sent, unsigned granted)
{
    cache.tokens += granted;
    cache.usableUntil = sent + tokenLifetime;
}

} // namespace anisehold::tenancy
