#include "speed/server_speed.hpp"

#include <algorithm>
#include <cmath>

#include "protocol/half_life.hpp"

namespace anisehold::speed
{
namespace
{

constexpr double percentOfOne = 100;
/** Time in which a figure loses all but 1/e of its effect: the time between two changes of a noisy machine.
 */
constexpr double fadeS = 0.6;
/** The server's usual figure is found among those of the last one to two such periods. */
constexpr Duration rangePeriod = seconds (4);
/** Half-life of the responses in FigureFit, in seconds. */
constexpr double fitHalfLifeS = 5;
/** Sum of squared deviations with which a new server's figure is trusted in advance: that of about ten
    responses of a server that is 2.5 times slower 15 % of the time. */
constexpr double priorSquares = 1;
/** A figure with a response is at most this old when the response's time is learned. */
constexpr Duration freshAge = milliseconds (50);
/** Trust from which a figure counts as used, and below which it doesn't any more; and the minimum time
    between two changes. */
constexpr double usedFrom = 0.4;
constexpr double unusedBelow = 0.2;
constexpr Duration minUseTime = seconds (1);
/** A smaller difference to the usual speed isn't reported, since the usual one costs no bytes. */
constexpr double negligible = 0.05;
/** Bounds of the effect of a figure. */
constexpr double minSlowness = 0.1;
constexpr double maxSlowness = 10;
/** Divisor of the weight of a new time in the learned time. */
constexpr int learningDivisor = 8;

double secondsOf (Duration duration)
{
    return std::chrono::duration<double> (duration).count();
}

Duration scaled (Duration time, double factor)
{
    return std::chrono::duration_cast<Duration> (time * factor);
}

void extend (FigureRange& range, double figure)
{
    range.lowest = std::min (range.lowest, figure);
    range.highest = std::max (range.highest, figure);
}

/** Adds the figure to the recent ones. */
void recordInRange (ServerSpeed& server, TimePoint now, double figure)
{
    const auto age = now - server.rangeBegan;

    if (! server.hasFigure || age >= 2 * rangePeriod)
    {
        server.range = { figure, figure };
        server.rangeBefore = server.range;
        server.rangeBegan = now;
    }
    else if (age >= rangePeriod)
    {
        server.rangeBefore = server.range;
        server.range = { figure, figure };
        server.rangeBegan = now;
    }

    extend (server.range, figure);
}

/** Returns 1 if recent figures lie on both sides of it, else the recent figure nearest to 1. */
double usualFigure (const ServerSpeed& server)
{
    return std::clamp (1.0, std::min (server.range.lowest, server.rangeBefore.lowest),
                       std::max (server.range.highest, server.rangeBefore.highest));
}

void recordInFit (FigureFit& fit, TimePoint now, double figure, Duration time)
{
    const double kept = kept_part (now - fit.updated, fitHalfLifeS);
    const double x = std::log (figure);
    const double y = std::log (std::max (secondsOf (time), 1e-6));
    fit.weight = kept * fit.weight + 1;
    fit.figures = kept * fit.figures + x;
    fit.times = kept * fit.times + y;
    fit.figureSquares = kept * fit.figureSquares + x * x;
    fit.products = kept * fit.products + x * y;
    fit.updated = now;
}

/** Returns the effect of a figure on the server's times. */
double slownessBy (const ServerSpeed& server, double figure)
{
    return std::clamp (std::pow (figure / server.usual, figureTrust (server)), minSlowness, maxSlowness);
}

/** Returns the present duration of work as a multiple of the usual one. */
double presentSlowness (const ServerSpeed& server, TimePoint now)
{
    if (! server.hasFigure)
        return 1;

    const double kept = std::exp (-secondsOf (now - server.toldAt) / fadeS);
    return 1 + (slownessBy (server, server.stated) - 1) * std::min (kept, 1.0);
}

} // namespace

void recordFigure (ServerSpeed& server, TimePoint now, unsigned percent, Duration& learned)
{
    if (percent < minPercent || percent > maxPercent)
        return;

    const double figure = percent / percentOfOne;
    recordInRange (server, now, figure);
    const double usual = usualFigure (server);

    if (server.hasFigure && usual != server.usual)
        learned = scaled (learned, slownessBy (server, usual));

    server.usual = usual;
    server.stated = figure;
    server.toldAt = now;
    server.hasFigure = true;
}

void learnTime (ServerSpeed& server, TimePoint now, Duration elapsed, Duration& learned)
{
    const auto usual = usualTime (server, now, elapsed);
    learned = learned == Duration::zero() ? usual : learned + (usual - learned) / learningDivisor;

    if (server.hasFigure && now - server.toldAt <= freshAge)
        recordInFit (server.fit, now, server.stated, elapsed);
}

Duration usualTime (const ServerSpeed& server, TimePoint now, Duration elapsed)
{
    return server.hasFigure ? scaled (elapsed, 1 / presentSlowness (server, now)) : elapsed;
}

double figureTrust (const ServerSpeed& server)
{
    const auto& fit = server.fit;

    if (fit.weight <= 0)
        return 1;

    const double squares = fit.figureSquares - fit.figures * fit.figures / fit.weight;
    const double products = fit.products - fit.figures * fit.times / fit.weight;
    return std::clamp ((products + priorSquares) / (std::max (squares, 0.0) + priorSquares), 0.0, 1.0);
}

bool updateUse (ServerSpeed& server, TimePoint now)
{
    const double trust = figureTrust (server);
    const bool isUsed = server.hasFigure && trust >= (server.isUsed ? unusedBelow : usedFrom);
    const bool isFirst = server.useChanged == TimePoint{};

    if (isUsed == server.isUsed || (! isFirst && now - server.useChanged < minUseTime))
        return false;

    server.isUsed = isUsed;
    server.useChanged = now;
    return true;
}

unsigned slowPercent (const ServerSpeed& server, TimePoint now)
{
    const double slowness = presentSlowness (server, now);
    return std::abs (slowness - 1) < negligible
               ? kUsualSlowPercent
               : static_cast<unsigned> (std::lround (percentOfOne * slowness));
}

double agedSlowness (unsigned percent, Duration age)
{
    const double kept = std::exp (-std::max (secondsOf (age), 0.0) / fadeS);
    return std::clamp (1 + (percent / percentOfOne - 1) * kept, minSlowness, maxSlowness);
}

} // namespace anisehold::speed
