#include "speed/server_speed.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <random>

using namespace anisehold;
using namespace anisehold::speed;

namespace
{

constexpr double workMs = 30;
constexpr Duration gap = milliseconds (5);

/** A server that answers every 5 ms, with the real and the stated slowness as functions of the time. */
struct Replay
{
    std::function<double (TimePoint)> slowness = [] (TimePoint) { return 1.0; };
    std::function<unsigned (TimePoint)> stated;
    ServerSpeed server{};
    Duration learned{};
    TimePoint now = TimePoint{} + seconds (1'000);
    std::mt19937 generator{ 5 };
    double largestError = 1; /**< Largest ratio between expected and true time, in either direction. */

    void run (Duration duration, bool checksError = false)
    {
        std::lognormal_distribution<double> scatter (-0.08, 0.4);

        for (const auto end = now + duration; now < end; now += gap)
        {
            if (checksError)
                largestError =
                    std::max (largestError, std::exp (std::abs (std::log (expectedMs() / trueMs()))));

            recordFigure (server, now, stated (now), learned);
            const auto ms = std::chrono::duration<double, std::milli> (trueMs() * scatter (generator));
            learnTime (server, now, std::chrono::duration_cast<Duration> (ms), learned);
        }
    }

    double trueMs() const { return workMs * slowness (now); }
    double expectedMs() const
    {
        return std::chrono::duration<double, std::milli> (learned).count() * slowPercent (server, now) / 100;
    }
};

/** A machine that is 2.5 times slower 15 % of the time, redrawn each 600 ms. */
double noisyMachine (TimePoint now)
{
    const auto epoch = static_cast<unsigned> (now.time_since_epoch() / milliseconds (600));
    std::mt19937 generator (epoch);
    generator.discard (5);
    return std::uniform_real_distribution<double> (0, 1) (generator) < 0.15 ? 2.5 : 1.0;
}

} // namespace

// Guards against an average that follows neither the present nor the usual speed.
TEST_CASE ("an honest figure separates the present speed of a server from its usual one", "[speed]")
{
    Replay replay;
    replay.slowness = noisyMachine;
    replay.stated = [] (TimePoint now) { return static_cast<unsigned> (100 * noisyMachine (now)); };
    replay.run (seconds (10));
    CHECK (figureTrust (replay.server) > 0.8);
    CHECK (std::chrono::duration<double, std::milli> (replay.learned).count() ==
           Approx (workMs).epsilon (0.25));
}

// Guards against a server that draws no requests, or all of them, by a figure that is always the same.
TEST_CASE ("a figure that never changes has no effect from the first response on", "[speed]")
{
    for (const unsigned percent : { 10U, 10'000U, 250U })
    {
        Replay replay;
        replay.stated = [percent] (TimePoint) { return percent; };
        replay.run (seconds (20));
        CHECK (replay.expectedMs() == Approx (workMs).epsilon (0.3));
        CHECK (slowPercent (replay.server, replay.now) == 100);
        replay.now += seconds (3);
        CHECK (replay.expectedMs() == Approx (workMs).epsilon (0.3));
    }
}

// Guards against a server whose figure says nothing about its times.
TEST_CASE ("a figure that the response times do not follow loses its effect within seconds", "[speed]")
{
    Replay replay;
    replay.stated = [] (TimePoint now)
    { return now.time_since_epoch() / milliseconds (300) % 2 == 0 ? 10U : 10'000U; };
    replay.run (seconds (3));
    CHECK (figureTrust (replay.server) < 0.1);
    replay.run (seconds (5), true);
    CHECK (replay.largestError < 2);
}

// Guards against expecting the wrong time after a server's usual figure has changed.
TEST_CASE ("the learned time is converted when the usual figure of a server changes", "[speed]")
{
    Replay replay;
    const auto began = replay.now + seconds (10);
    replay.slowness = [=] (TimePoint now) { return now < began ? 1.0 : 2.5; };
    replay.stated = [=] (TimePoint now) { return now < began ? 100U : 250U; };
    replay.run (seconds (10));
    replay.run (seconds (30), true);
    CHECK (replay.largestError < 2.7);
    CHECK (slowPercent (replay.server, replay.now) == 100);
    CHECK (replay.expectedMs() == Approx (2.5 * workMs).epsilon (0.3));
}

TEST_CASE ("a figure fades at the gate and at the caller", "[speed]")
{
    ServerSpeed server;
    Duration learned{};
    const TimePoint now = TimePoint{} + seconds (10);
    recordFigure (server, now, 100, learned);
    recordFigure (server, now, 250, learned);
    CHECK (slowPercent (server, now) == 250);
    CHECK (slowPercent (server, now + milliseconds (600)) == 155);
    CHECK (slowPercent (server, now + seconds (6)) == 100);
    CHECK (agedSlowness (250, Duration::zero()) == Approx (2.5));
    CHECK (agedSlowness (250, milliseconds (600)) == Approx (1.552).epsilon (0.01));
    CHECK (agedSlowness (0, Duration::zero()) > 0);
    CHECK (agedSlowness (250, seconds (10)) == Approx (1).epsilon (0.001));
}

TEST_CASE ("a figure out of bounds is ignored", "[speed]")
{
    ServerSpeed server;
    Duration learned{};

    for (const unsigned percent : { 0U, 9U, 10'001U, 4'000'000'000U })
        recordFigure (server, TimePoint{} + seconds (1), percent, learned);

    CHECK_FALSE (server.hasFigure);
    CHECK (slowPercent (server, TimePoint{} + seconds (1)) == 100);
}

// Guards against a change for servers that state no figure: the average as it was before.
TEST_CASE ("without a figure the learned time is the moving average of the times", "[speed]")
{
    ServerSpeed server;
    Duration learned{};
    Duration expected{};
    std::mt19937 generator (3);

    for (int n = 0; n < 100; ++n)
    {
        const Duration elapsed (generator() % 100'000'000);
        expected = expected == Duration::zero() ? elapsed : expected + (elapsed - expected) / 8;
        learnTime (server, TimePoint{} + seconds (n), elapsed, learned);
        CHECK (learned == expected);
    }

    CHECK (slowPercent (server, TimePoint{} + seconds (101)) == 100);
}

TEST_CASE ("a change in the use of a figure is told once", "[speed]")
{
    Replay replay;
    replay.stated = [] (TimePoint now)
    { return now.time_since_epoch() / milliseconds (300) % 2 == 0 ? 10U : 10'000U; };
    CHECK_FALSE (updateUse (replay.server, replay.now));
    replay.run (milliseconds (5));
    CHECK (updateUse (replay.server, replay.now));
    CHECK (replay.server.isUsed);
    CHECK_FALSE (updateUse (replay.server, replay.now));
    replay.run (seconds (5));
    CHECK (updateUse (replay.server, replay.now));
    CHECK_FALSE (replay.server.isUsed);
    CHECK_FALSE (updateUse (replay.server, replay.now));
}
