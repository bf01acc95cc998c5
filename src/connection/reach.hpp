/** Whether a server can be connected to.

    A server that is gone without a word lets each attempt to connect hang. After a few in a row only single
    attempts are let through, so that requests move on to other servers at once. Pure.
*/
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::connection
{

/** What the latest attempts showed. */
struct Reach
{
    unsigned failuresInRow = 0;
    TimePoint nextTry;
};

/** Failures in a row after which a server counts as unreachable. */
inline constexpr unsigned mostFailures = 3;
/** Pause between two attempts at an unreachable server. */
inline constexpr milliseconds tryPause{ 300 };

/** Whether the server counts as unreachable. */
inline bool isUnreachable (const Reach& reach)
{
    return reach.failuresInRow >= mostFailures;
}

/** Whether a request may try to connect now; takes the single attempt of an unreachable server. */
inline bool takeTry (Reach& reach, TimePoint now)
{
    if (! isUnreachable (reach))
        return true;

    if (now < reach.nextTry)
        return false;

    reach.nextTry = now + tryPause;
    return true;
}

/** The server was connected to. */
inline void noteConnected (Reach& reach)
{
    reach.failuresInRow = 0;
}

/** It could not be. */
inline void noteConnectFailed (Reach& reach, TimePoint now)
{
    ++reach.failuresInRow;
    reach.nextTry = now + tryPause;
}

} // namespace anisehold::connection
