/// @file
/// Retry-After: how long a caller that was refused is asked to stay away. Every figure of it stands here, one
/// constant a case; ErrorAnswer::come_back says which errors carry it at all. The parts that refuse pass the
/// value on in their results; the ingress of each program writes the header field.
///
/// The values are chosen, not measured, unless the constant says otherwise. Relies on the time types only.
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::retry_after {

// Either program, from the gate of a server.

/// Least for a call that the gate refuses, or that leaves its queue unserved. Otherwise it gets the time in
/// which the queue as it stands is expected to be worked off.
inline constexpr milliseconds kMinAtGate{50};

// `anisehold sidecar`. Only errors of requests that surely didn't run carry Retry-After.

/// A request that was refused for a cause for which nothing better is known: no configuration, no server, a
/// server that declined, a connection beyond the limit.
inline constexpr milliseconds kSidecarDefault{200};
/// A request whose key can't be proven to be in force: while the proof is old, peers are asked for another
/// each 200 ms.
inline constexpr milliseconds kKeyUnproven{300};
/// A client's request that the limit of root requests refuses: this, plus a random part of
/// kRefusedEarlySpread, so that callers that were refused together don't come back together. Measured: the
/// worth of a day at 1.7 times the usual load was 0.672 so, and 0.647 with up to four times as much when more
/// was refused (docs/design/tenants.md). Without the spread a day's worth differed by -0.011 to +0.003, which
/// is within the noise (docs/design/overload.md).
inline constexpr milliseconds kRefusedEarly{250};
inline constexpr milliseconds kRefusedEarlySpread{500};
/// A request of a tenant for which no owner of its quota answered: by then another owner has been found.
inline constexpr milliseconds kQuotaUnknown{300};
/// A request beyond its tenant's quota gets the time until it would have its turn behind all that were
/// refused before, plus a random part of kQuotaSpread of that; at least and at most this. The least is also
/// the longest time for which an owner without tokens isn't asked again.
inline constexpr milliseconds kMinQuotaExceeded{50};
inline constexpr milliseconds kMaxQuotaExceeded{5'000};  ///< Before the spread: by then demand is another.
inline constexpr double kQuotaSpread = 0.25;

// `anisehold serve`. The ingress lengthens each by a random part of kServeSpread, so that callers that were
// refused together don't come back together.

inline constexpr double kServeSpread = 1.0;
/// A request that is refused before it is routed.
inline constexpr milliseconds kServeDefault{1'000};
/// A root request that the adaptive throttle refuses.
inline constexpr milliseconds kThrottled{1'000};
/// A call without a server, or whose server or gate couldn't be connected to or gave no whole answer in time.
inline constexpr milliseconds kNoServer{1'000};
/// A call that its server refused without a Retry-After of its own.
inline constexpr milliseconds kServerRefused{1'000};
/// A request that has used up the retries of its chain.
inline constexpr milliseconds kRetriesExhausted{1'000};
/// A nested call whose retries nobody could be asked for.
inline constexpr milliseconds kHomeUnreachable{1'000};
/// A request whose idempotency key no majority of holders could be asked for.
inline constexpr milliseconds kClaimUnavailable{1'000};
/// A request whose key is in progress: its answer may be there soon.
inline constexpr milliseconds kDuplicateInProgress{200};

}  // namespace anisehold::retry_after
