/** Backoff for connection attempts to an unreachable server.

    If a server disappears without closing its connections, each attempt to connect hangs, which cost half a
    second per request sent to such a server. After a few consecutive failures only single attempts are made,
    so that requests move on to other servers at once. The local gate of the server owns the state, and calls
    recordConnected or recordConnectFailure for each attempt. Pure.
*/
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::connection
{

/** Result of the latest attempts. */
struct ConnectBackoff
{
    unsigned failuresInRow = 0;
    TimePoint nextAttempt;
};

/** Consecutive failures after which a server counts as unreachable. */
inline constexpr unsigned maxFailures = 3;
/** Interval between two attempts to connect to an unreachable server. */
inline constexpr milliseconds attemptInterval{ 300 };

inline bool isUnreachable (const ConnectBackoff& backoff)
{
    return backoff.failuresInRow >= maxFailures;
}

/** Whether a request may attempt to connect now; true at most once per `attemptInterval` for an
    unreachable server. */
inline bool acquireAttempt (ConnectBackoff& backoff, TimePoint now)
{
    if (! isUnreachable (backoff))
        return true;

    if (now < backoff.nextAttempt)
        return false;

    backoff.nextAttempt = now + attemptInterval;
    return true;
}

/** Records a successful attempt to connect. */
inline void recordConnected (ConnectBackoff& backoff)
{
    backoff.failuresInRow = 0;
}

/** Records a failed attempt to connect. */
inline void recordConnectFailure (ConnectBackoff& backoff, TimePoint now)
{
    ++backoff.failuresInRow;
    backoff.nextAttempt = now + attemptInterval;
}

} // namespace anisehold::connection
