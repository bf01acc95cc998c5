/// @file
/// Retry-After delays sent to rejected callers. Owns one constant per case; `ErrorAnswer::retry_advice`
/// determines which errors carry the header. Rejecting components pass the value on in their results, and the
/// ingress of each program writes the header field. Relies only on the time types.
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::retry_after {

// Both programs, at a server's gate.

/// Minimum delay for a call that the gate rejects or that leaves the gate's queue unserved. Above the
/// minimum, the delay is the time in which the current queue is expected to drain.
inline constexpr milliseconds kMinAtGate{50};

// `anisehold sidecar`. Only errors of requests that were certainly not executed carry Retry-After.

/// A request rejected without a more specific delay: no configuration, no server, a server that declined, or
/// too many connections. A request refused because the daemon is stopping is told `stopping::retryDelay`
/// instead.
inline constexpr milliseconds kSidecarDefault{200};
/// A request whose key cannot be proven to be in force: while the proof is outdated, peers are asked for a
/// new one every 200 ms.
inline constexpr milliseconds kKeyUnproven{300};
/// A client's request rejected by the limit of root requests: this delay plus a random part of
/// kRefusedEarlySpread, so that callers rejected together do not retry together. At 1.7 times the usual load
/// the worth of a day was 0.672 with these values and 0.647 with up to four times the delay while more was
/// rejected (docs/design/tenants.md); without the spread the worth changed by -0.011 to +0.003, which is
/// within the noise (docs/design/overload.md). Where returning callers take precedence, a later time is named
/// to callers that will then be recognized and can still be served in time (returning/return_time).
inline constexpr milliseconds kRefusedEarly{250};
inline constexpr milliseconds kRefusedEarlySpread{500};
/// A request of a tenant whose quota owner did not respond: within this time another owner is found.
inline constexpr milliseconds kQuotaUnknown{300};
/// A request beyond its tenant's quota is told the time until its turn after all earlier rejected requests,
/// plus a random part of kQuotaSpread of that time, within the minimum and maximum below. The minimum is also
/// the longest time for which an owner without tokens is not asked again.
inline constexpr milliseconds kMinQuotaExceeded{50};
inline constexpr milliseconds kMaxQuotaExceeded{
    5'000};  ///< Applies before the spread; demand will have changed after a longer delay.
inline constexpr double kQuotaSpread = 0.25;

// `anisehold serve`. The ingress adds a random part of kServeSpread to each delay, so that callers rejected
// together do not retry together.

inline constexpr double kServeSpread = 1.0;
/// A request rejected before routing.
inline constexpr milliseconds kServeDefault{1'000};
/// A root request rejected by the adaptive throttle.
inline constexpr milliseconds kThrottled{1'000};
/// A call without an available server, or whose server or gate refused the connection or sent no complete
/// response in time.
inline constexpr milliseconds kNoServer{1'000};
/// A call that its server rejected without a Retry-After of its own.
inline constexpr milliseconds kServerRefused{1'000};
/// A request whose chain has exhausted its retries.
inline constexpr milliseconds kRetriesExhausted{1'000};
/// A nested call whose retry ledger could not be reached.
inline constexpr milliseconds kHomeUnreachable{1'000};
/// A request for whose idempotency key no majority of holders could be reached.
inline constexpr milliseconds kClaimUnavailable{1'000};
/// A request whose key is in progress: the response may be available soon.
inline constexpr milliseconds kDuplicateInProgress{200};

}  // namespace anisehold::retry_after
