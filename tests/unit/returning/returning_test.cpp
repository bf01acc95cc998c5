#include <catch2/catch.hpp>
#include <random>

#include "returning/fresh_deadlines.hpp"
#include "returning/precedence.hpp"
#include "returning/return_time.hpp"
#include "returning/standing.hpp"

using namespace anisehold;
using namespace anisehold::returning;

namespace
{

const TimePoint start = TimePoint (std::chrono::hours (1));

/** Returns deadlines learned from fresh requests with 4,250 to 5,000 ms left. */
FreshDeadlines learnedDeadlines (TimePoint& now, int requests = 2'000)
{
    FreshDeadlines deadlines;
    std::mt19937 random (1);
    std::uniform_int_distribution<int> timeLeft (4'250, 5'000);

    for (int n = 0; n < requests; ++n)
    {
        now += milliseconds (50);
        recordArrival (deadlines, now, "history", milliseconds (timeLeft (random)), false);
    }

    return deadlines;
}

/** Returns a history that was refused, with this time left. */
RefusedRequest refusedHistory (int timeLeftMs)
{
    return { milliseconds (timeLeftMs),
             milliseconds (4'220),
             milliseconds (1'500),
             milliseconds (240),
             false,
             milliseconds (500),
             milliseconds (250),
             0.5 };
}

/** Returns the times of a row with 100 admissions per second. */
ReturnTimes busyRow (TimePoint& now)
{
    ReturnTimes times;

    for (int n = 0; n < 500; ++n)
    {
        now += milliseconds (10);
        recordAdmitted (times, now, "history/2");
    }

    return times;
}

} // namespace

TEST_CASE ("the smallest deadline of fresh requests is learned", "[returning]")
{
    auto now = start;
    const auto deadlines = learnedDeadlines (now);
    const auto smallest = smallestFresh (deadlines, now, "history");
    REQUIRE (smallest);
    CHECK (*smallest <= milliseconds (4'260));
    CHECK (*smallest >= milliseconds (4'200));
    CHECK_FALSE (smallestFresh (deadlines, now, "other"));
    // A range without recent requests isn't used.
    CHECK_FALSE (smallestFresh (deadlines, now + std::chrono::hours (1), "history"));
}

TEST_CASE ("without enough requests no range is known", "[returning]")
{
    auto now = start;
    CHECK_FALSE (smallestFresh (learnedDeadlines (now, 50), now, "history"));
}

TEST_CASE ("the deadlines of returns aren't learned as fresh ones", "[returning]")
{
    // Guards against a range that grows down during a shortage, so that no return is recognized any more.
    auto now = start;
    auto deadlines = learnedDeadlines (now);
    const auto before = smallestFresh (deadlines, now, "history");

    for (int n = 0; n < 2'000; ++n)
    {
        now += milliseconds (5);
        recordArrival (deadlines, now, "history", milliseconds (3'500), n < 1'900);
    }

    CHECK (smallestFresh (deadlines, now, "history") == before);
    now += milliseconds (2'000);
    recordRefusal (deadlines, now, "history");

    for (int n = 0; n < 200; ++n)
    {
        now += milliseconds (10);
        recordArrival (deadlines, now, "history", milliseconds (3'500), false);
    }

    CHECK (smallestFresh (deadlines, now, "history") == before);
}

TEST_CASE ("single callers with a short deadline don't move the range", "[returning]")
{
    auto now = start;
    auto deadlines = learnedDeadlines (now);

    for (int n = 0; n < 5; ++n)
        recordArrival (deadlines, now, "history", milliseconds (1'000), false);

    CHECK (*smallestFresh (deadlines, now, "history") >= milliseconds (4'200));
}

TEST_CASE ("the counts of deadlines are bounded", "[returning]")
{
    FreshDeadlines deadlines;

    for (int n = 0; n < 5'000; ++n)
        recordArrival (deadlines, start, "history", milliseconds (1 + n * 7), false);

    CHECK (deadlines.routes.at ("history").bins.size() <= maxBins);

    for (std::size_t n = 0; n < 2 * maxRoutes; ++n)
        recordArrival (deadlines, start, std::to_string (n), milliseconds (100), false);

    CHECK (deadlines.routes.size() == maxRoutes);
}

TEST_CASE ("a request is refused for its remaining time only if that can't suffice", "[returning]")
{
    const auto standing = [] (int timeLeftMs, int targetMs)
    {
        return standingOf ({ milliseconds (timeLeftMs), milliseconds (4'220), milliseconds (targetMs),
                             milliseconds (250), milliseconds (240) });
    };
    CHECK (standing (4'220, 1'500) == Standing::fresh);
    CHECK (standing (4'100, 1'500) == Standing::returning);
    CHECK (standing (2'900, 1'500) == Standing::late);
    CHECK (standing (4'100, 400) == Standing::late);
    CHECK (standing (100, 1'500) == Standing::unservable);
    // Nothing is recognized without a range.
    CHECK (standingOf (
               { milliseconds (100), {}, milliseconds (1'500), milliseconds (250), milliseconds (240) }) ==
           Standing::fresh);
}

TEST_CASE ("what returns are granted is taken from fresh requests of their row", "[returning]")
{
    // Guards against precedence that admits more than the share of the row.
    std::mt19937 random (1);
    std::uniform_real_distribution<double> unit (0, 1);

    for (const double returnShare : { 0.0, 0.1, 0.4, 0.8, 1.0 })
    {
        for (const double share : { 0.05, 0.3, 0.5, 0.9 })
        {
            Precedence precedence;
            double granted = 0;
            double toReturns = 0;
            double returns = 0;
            constexpr int requests = 10'000;

            for (int n = 0; n < requests; ++n)
            {
                const bool isReturning = unit (random) < returnShare;
                const double grant = grantShare (precedence, "history/2", share, isReturning);
                REQUIRE (grant >= 0);
                REQUIRE (grant <= 1);
                granted += grant;
                toReturns += isReturning ? grant : 0;
                returns += isReturning ? 1 : 0;
            }

            INFO ("returns " << returnShare << ", share " << share);
            CHECK (granted >= share * requests - 1e-6);
            CHECK (granted <= share * requests + maxDebt + 1e-6);
            CHECK ((returns == 0 || toReturns / returns > 0.85 * std::min (1.0, share / returnShare)));
        }
    }
}

TEST_CASE ("other rows don't pay for returns, and a debt ends with the shortage", "[returning]")
{
    Precedence precedence;
    CHECK (grantShare (precedence, "history/2", 0.5, true) == 1);
    CHECK (grantShare (precedence, "status/1", 0.5, false) == 0.5);
    CHECK (grantShare (precedence, "history/2", 1, false) == 1);
    CHECK (grantShare (precedence, "history/2", 0.5, false) == 0.5);

    for (std::size_t n = 0; n < 2 * maxRows; ++n)
        grantShare (precedence, std::to_string (n), 0.5, true);

    CHECK (precedence.debts.size() == maxRows);
}

TEST_CASE ("a caller is told to wait until it is recognized, within the target latency", "[returning]")
{
    auto now = start;
    auto times = busyRow (now);

    for (const int timeLeft : { 4'250, 4'600, 5'000 })
    {
        const auto told = chooseReturnTime (times, now, "history/2", refusedHistory (timeLeft));
        INFO (timeLeft << " told " << told.count());
        CHECK (milliseconds (timeLeft) - told < milliseconds (4'220));
        CHECK (told >= milliseconds (250));
        CHECK (told + milliseconds (240) <= milliseconds (1'500));
    }
}

TEST_CASE ("returns are spread over the capacity, up to the last time that is in time", "[returning]")
{
    // Guards against callers that come back together and refuse each other's return.
    auto now = start;
    auto times = busyRow (now);
    milliseconds first{ 0 };
    milliseconds last{ 0 };

    for (int n = 0; n < 200; ++n)
    {
        last = chooseReturnTime (times, now, "history/2", refusedHistory (4'600));
        first = n == 0 ? last : first;
        CHECK (last <= milliseconds (1'500 - 360));
    }

    CHECK (first < milliseconds (600));
    CHECK (last > milliseconds (1'000));
}

TEST_CASE ("without room for a recognizable wait the Retry-After is the usual one", "[returning]")
{
    auto now = start;
    auto times = busyRow (now);
    // A quote: target 200 ms, deadline 800 ms.
    RefusedRequest quote{ milliseconds (800),
                          milliseconds (675),
                          milliseconds (200),
                          milliseconds (40),
                          false,
                          milliseconds (610),
                          milliseconds (250),
                          0.5 };
    CHECK (chooseReturnTime (times, now, "history/2", quote) == milliseconds (610));
    // No range is known, nothing is known of the row, or the caller was refused before.
    auto request = refusedHistory (4'600);
    CHECK (chooseReturnTime (times, now, "other/2", request) == request.usual);
    request.isReturning = true;
    CHECK (chooseReturnTime (times, now, "history/2", request) == request.usual);
    request.isReturning = false;
    request.smallestFresh = milliseconds (0);
    CHECK (chooseReturnTime (times, now, "history/2", request) == request.usual);
}

TEST_CASE ("a caller whose return can't be served in time is told no early time", "[returning]")
{
    auto now = start;
    auto times = busyRow (now);
    auto request = refusedHistory (450);
    CHECK (chooseReturnTime (times, now, "history/2", request) == milliseconds (500));
    request.usual = milliseconds (300);
    request.timeLeft = milliseconds (350);
    CHECK (chooseReturnTime (times, now, "history/2", request) == milliseconds (350));
    request.timeLeft = milliseconds (600);
    CHECK (chooseReturnTime (times, now, "history/2", request) == milliseconds (300));
}
