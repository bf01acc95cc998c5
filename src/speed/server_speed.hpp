/** Present speed of a server that states how long work takes there now.

    Some servers put a figure into their responses: the present duration of work as a percentage of the usual
    one. In deployments R and K (docs/design/shortage.md) neighbors on the same machine make 15 % of the
   servers 2.5 times slower, others every 600 ms: too fast for an average of response times where a daemon
   sends a server few requests. The figure is fast but may be false, the learned service time is true but
   slow, so the two are kept apart: times are learned as they would be at the server's usual speed, and the
   expected time is the learned one times the present slowness.

    A false figure has no lasting effect. It is taken relative to the server's own usual figure, so a constant
    one says nothing, and only to the degree to which the server's response times follow it. A figure fades,
    since it says little about a later time.

    Owns ServerSpeed, the gate's state of one server. Plain state and free functions. Pure.
*/
#pragma once

#include "protocol/slow_percent.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::speed
{

/** Bounds of the figures that are accepted, in percent. */
inline constexpr unsigned minPercent = 10;
inline constexpr unsigned maxPercent = 10'000;

/** Range of the figures stated in a period, as multiples of the usual duration. */
struct FigureRange
{
    double lowest = 1;
    double highest = 1;
};

/** Sums over the responses that came with a figure, decayed exponentially, from which the degree to which
    response times follow the figure is computed. Figures and times are logarithms. */
struct FigureFit
{
    double weight = 0;
    double figures = 0;
    double times = 0;
    double figureSquares = 0;
    double products = 0;
    TimePoint updated;
};

/** What a server's responses show of its speed. */
struct ServerSpeed
{
    bool hasFigure = false;
    double stated = 1; /**< The latest figure, as a multiple of the usual duration. */
    TimePoint toldAt;  /**< When `stated` arrived. */
    double usual = 1;  /**< The server's own usual figure, which counts as 1. */
    FigureRange range; /**< Figures since `rangeBegan`. */
    FigureRange rangeBefore;
    TimePoint rangeBegan;
    FigureFit fit;
    bool isUsed = false;  /**< Whether response times follow the figure, as of the last `updateUse`. */
    TimePoint useChanged; /**< When `isUsed` last changed. */
};

/** Records a figure that the server stated; ignores one out of bounds. `learned`, the time learned by
    `learnTime`, is converted if the server's usual figure changes. */
void recordFigure (ServerSpeed&, TimePoint now, unsigned percent, Duration& learned);

/** Updates the learned service time, at the server's usual speed, with a response time. Equals a moving
    average of the times if the server states no figure. */
void learnTime (ServerSpeed&, TimePoint now, Duration elapsed, Duration& learned);

/** Returns the time as it would be at the server's usual speed. */
Duration usualTime (const ServerSpeed&, TimePoint now, Duration elapsed);

/** Returns the degree, from 0 to 1, to which the server's response times follow its figure. */
double figureTrust (const ServerSpeed&);

/** Updates `isUsed` by the trust in the figure, with hysteresis; returns whether it changed. */
bool updateUse (ServerSpeed&, TimePoint now);

/** Returns the present duration of work in percent of the usual one, for callers. */
unsigned slowPercent (const ServerSpeed&, TimePoint now);

/** Returns the present duration of work as a multiple of the usual one, by a figure of `slowPercent` that is
    `age` old. */
double agedSlowness (unsigned percent, Duration age);

} // namespace anisehold::speed
