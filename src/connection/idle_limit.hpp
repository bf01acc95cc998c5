/** How long a kept connection to a server may be idle before it isn't used again.

    A server may forget idle connections sooner than it says, or without a word; whatever is sent on one then
    is lost, and a request that may run once only can't be sent again. The limit is learned from such losses
    and grows back while none come. Owned by the gate beside the server (sidecar/local_gate). Pure.
*/
#pragma once

#include <algorithm>

#include "protocol/time_types.hpp"

namespace anisehold::connection
{

/** What was learned of one server. */
struct IdleLimit
{
    Duration maxIdle = Duration::max(); /**< As of `changed`; no limit at first. */
    TimePoint changed;
};

/** No limit is learned below this: a pause between two requests isn't idleness. Chosen, not measured. */
inline constexpr milliseconds minIdle{ 20 };
/** Divisor of the idle time after which a connection was lost: what is left of it is taken for safe. Chosen,
    not measured. */
inline constexpr int safeIdleDivisor = 4;
/** Time without a loss in which the limit doubles. Chosen, not measured. */
inline constexpr seconds idleDoubling{ 5 };
/** Doublings after which there is no limit any more. Chosen, not measured. */
inline constexpr int maxDoublings = 8;

/** How long a connection may have been idle now. */
inline Duration currentMaxIdle (const IdleLimit& limit, TimePoint now)
{
    if (limit.maxIdle == Duration::max())
        return limit.maxIdle;

    const auto doublings = (now - limit.changed) / idleDoubling;

    if (doublings >= maxDoublings)
        return Duration::max();

    return limit.maxIdle * (1LL << doublings);
}

/** A connection that had been idle for `idle` was lost when it was used again. */
inline void recordLostConnection (IdleLimit& limit, TimePoint now, Duration idle)
{
    limit.maxIdle =
        std::max<Duration> (std::min (currentMaxIdle (limit, now), idle / safeIdleDivisor), minIdle);
    limit.changed = now;
}

} // namespace anisehold::connection
