/** How long a daemon may go on trusting its configuration without hearing from the store.

    A key that was taken away must not be served later than a bounded time after the store acknowledged that,
    on any daemon, also on one that hears nobody or was paused. So a daemon keeps the latest moment up to
    which it knows that no newer version than its own existed, and serves keyed requests only for a bounded
    time after it. The moment is taken on the boot clock before the request was sent, so that neither a slow
    reply nor a pause makes it later than it was. sidecar/proof_keeper gets the proofs. Pure.
*/
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "protocol/time_types.hpp"

namespace anisehold::tenancy
{

/** Part of the revocation time for which a proof is good; the rest covers clocks that run apart. Chosen, not
    measured. */
inline constexpr double usableProofShare = 0.95;
/** A key that isn't known is refused for good only on a proof younger than this: it may be newer than the
    configuration. Operators expect a new key to work within some two seconds. Chosen, not measured. */
inline constexpr milliseconds unknownKeyProofAge{ 2'000 };

/** What one daemon knows. */
struct ConfigurationProof
{
    std::optional<TimePoint> provenAt; /**< No newer version than the own one existed then. */
};

/** The store, or a peer that knew it from there, answered a request that was sent at `sent`. `age` is what
    the peer added: how long before its reply it was proven. */
inline void recordProof (ConfigurationProof& state, TimePoint sent, Duration age = Duration::zero())
{
    const auto moment = sent - std::max (age, Duration::zero());
    state.provenAt = state.provenAt ? std::max (*state.provenAt, moment) : moment;
}

/** Age of the proof; nothing without one. */
inline std::optional<Duration> proofAge (const ConfigurationProof& state, TimePoint now)
{
    return state.provenAt ? std::optional<Duration> (now - *state.provenAt) : std::nullopt;
}

inline bool isProven (const ConfigurationProof& state, TimePoint now, Duration within)
{
    const auto age = proofAge (state, now);
    return age && *age <= within;
}

/** How old a proof may be where keys must be out of force within `revocation`. */
inline Duration maxProofAge (milliseconds revocation)
{
    return std::chrono::duration_cast<Duration> (revocation * usableProofShare);
}

} // namespace anisehold::tenancy
