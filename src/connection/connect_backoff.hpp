/** Whether a server can be connected to.

    A server that is gone without a word lets each attempt to connect hang: it took half a second of each
    request sent to it. After a few failures in a row only single attempts are made, so that requests move on
    to other servers at once. The gate beside the server owns the state and calls recordConnected or
    recordConnectFailure for each attempt. Pure.
*/
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::connection
{

/** What the latest attempts showed. */
struct ConnectBackoff
{
    unsigned failuresInRow = 0;
    TimePoint nextAttempt;
};

/** Failures in a row after which a server counts as unreachable. Chosen, not measured. */
inline constexpr unsigned maxFailures = 3;
/** Pause between two attempts at an unreachable server. Chosen, not measured. */
inline constexpr milliseconds attemptInterval{ 300 };

/** Whether the server counts as unreachable. */
inline bool isUnreachable (const ConnectBackoff& backoff)
{
    return backoff.failuresInRow >= maxFailures;
}

/** Whether a request may try to connect now; takes the single attempt of an unreachable server. */
inline bool acquireAttempt (ConnectBackoff& backoff, TimePoint now)
{
    if (! isUnreachable (backoff))
        return true;

    if (now < backoff.nextAttempt)
        return false;

    backoff.nextAttempt = now + attemptInterval;
    return true;
}

/** The server was connected to. */
inline void recordConnected (ConnectBackoff& backoff)
{
    backoff.failuresInRow = 0;
}

/** It could not be. */
inline void recordConnectFailure (ConnectBackoff& backoff, TimePoint now)
{
    ++backoff.failuresInRow;
    backoff.nextAttempt = now + attemptInterval;
}

} // namespace anisehold::connection
