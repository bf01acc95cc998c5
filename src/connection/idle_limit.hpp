/** Limits how long a persistent connection to a server may be idle before reuse.

    A server may drop idle connections earlier than it announces, or without closing them. A request sent on
    such a connection is lost, and a request that must run at most once can't be sent again. The limit is
    learned from such losses and grows again while none occur. The local gate of the server owns the state
    (sidecar/local_gate). Pure.
*/
#pragma once

#include <algorithm>

#include "protocol/time_types.hpp"

namespace anisehold::connection
{

/** The idle limit of one server. */
struct IdleLimit
{
    Duration maxIdle = Duration::max(); /**< The limit at the time `changed`; initially unlimited. */
    TimePoint changed;
};

/** Lower bound of the limit: a pause between two requests doesn't count as idle. */
inline constexpr milliseconds minIdle{ 20 };
/** Divisor of the idle time after which a connection was lost; the quotient is assumed to be safe. */
inline constexpr int safeIdleDivisor = 4;
/** Time without a loss after which the limit doubles. */
inline constexpr seconds idleDoubling{ 5 };
/** Number of doublings after which the limit ends. */
inline constexpr int maxDoublings = 8;

/** Returns the maximum idle time of a connection that may be reused now. */
inline Duration currentMaxIdle (const IdleLimit& limit, TimePoint now)
{
    if (limit.maxIdle == Duration::max())
        return limit.maxIdle;

    const auto doublings = (now - limit.changed) / idleDoubling;

    if (doublings >= maxDoublings)
        return Duration::max();

    return limit.maxIdle * (1LL << doublings);
}

/** Records that a connection was lost on reuse after being idle for `idle`. */
inline void recordLostConnection (IdleLimit& limit, TimePoint now, Duration idle)
{
    limit.maxIdle =
        std::max<Duration> (std::min (currentMaxIdle (limit, now), idle / safeIdleDivisor), minIdle);
    limit.changed = now;
}

} // namespace anisehold::connection
