/** Bounds how long a daemon may trust its configuration without contact to the store.

    A revoked key must not be served later than a bounded time after the store acknowledged the revocation, on
    any daemon, including a daemon that is disconnected or was paused. Each daemon therefore keeps the latest
    time at which no version newer than its own existed, and serves requests with a key only for a bounded
    time after that. The time is read from the boot clock before the request to the store is sent, so neither
    a slow reply nor a pause makes the proof appear younger than it is. sidecar/proof_keeper obtains the
    proofs. Pure.
*/
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "protocol/time_types.hpp"

namespace anisehold::tenancy
{

/** Share of the revocation time for which a proof is valid; the rest covers clock drift. */
inline constexpr double usableProofShare = 0.95;
/** An unknown key is rejected definitively only on a proof younger than this, since the key may be newer than
    the configuration. Operators expect a new key to work within about two seconds. */
inline constexpr milliseconds unknownKeyProofAge{ 2'000 };

/** The latest proof of one daemon. */
struct ConfigurationProof
{
    std::optional<TimePoint> provenAt; /**< No version newer than the daemon's own existed at this time. */
};

/** Records a reply of the store, or of a peer with a proof from the store, to a request that was sent at
    `sent`. `age`: the age of the peer's proof at its reply. */
inline void recordProof (ConfigurationProof& state, TimePoint sent, Duration age = Duration::zero())
{
    const auto moment = sent - std::max (age, Duration::zero());
    state.provenAt = state.provenAt ? std::max (*state.provenAt, moment) : moment;
}

/** Returns the age of the proof; nothing without a proof. */
inline std::optional<Duration> proofAge (const ConfigurationProof& state, TimePoint now)
{
    return state.provenAt ? std::optional<Duration> (now - *state.provenAt) : std::nullopt;
}

inline bool isProven (const ConfigurationProof& state, TimePoint now, Duration within)
{
    const auto age = proofAge (state, now);
    return age && *age <= within;
}

/** Returns the maximum age of a proof where keys must be out of force within `revocation`. */
inline Duration maxProofAge (milliseconds revocation)
{
    return std::chrono::duration_cast<Duration> (revocation * usableProofShare);
}

} // namespace anisehold::tenancy
