#include "stopping/completion.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::stopping;

namespace
{

const TimePoint start (seconds (100));
const StopTimes stop{ start + milliseconds (2'600), start + milliseconds (5'600) };

/** Times of a row whose requests all took `elapsed`. */
CompletionTimes timesOf (Duration elapsed, int count)
{
    CompletionTimes times;

    for (int n = 0; n < count; ++n)
        recordCompleted (times, start, "orders/1", elapsed);

    return times;
}

/** Whether a request that begins `after` the start, with a deadline 4 s later, is expected to be completed.
 */
bool mayBegin (const CompletionTimes& times, Duration after)
{
    const auto now = start + after;
    return canComplete (times, now, { "orders/1", now + seconds (4) }, stop);
}

} // namespace

TEST_CASE ("a request begins only if the slowest of its row would be completed in time", "[stopping]")
{
    const auto times = timesOf (milliseconds (2'400), 200);
    CHECK (mayBegin (times, milliseconds (3'000)));
    CHECK_FALSE (mayBegin (times, milliseconds (3'200)));
}

TEST_CASE ("quick requests begin until shortly before the end", "[stopping]")
{
    const auto times = timesOf (milliseconds (50), 200);
    CHECK (mayBegin (times, milliseconds (5'400)));
    CHECK_FALSE (mayBegin (times, milliseconds (5'500)));
}

TEST_CASE ("one slow request counts among many quick ones", "[stopping]")
{
    auto times = timesOf (milliseconds (50), 1'000);
    recordCompleted (times, start, "orders/1", milliseconds (2'400));
    CHECK_FALSE (mayBegin (times, milliseconds (3'200)));
}

TEST_CASE ("the fewer requests were seen, the longer the next one may take", "[stopping]")
{
    CHECK (expectedTime (timesOf (milliseconds (100), 1), start, "orders/1") == milliseconds (300));
    CHECK (expectedTime (timesOf (milliseconds (100), 4), start, "orders/1") == milliseconds (150));
    CHECK (expectedTime (timesOf (milliseconds (100), 200), start, "orders/1") == milliseconds (101));
}

TEST_CASE ("a request of an unknown row may take until its deadline", "[stopping]")
{
    CHECK_FALSE (expectedTime ({}, start, "orders/1").has_value());
    CHECK (mayBegin ({}, milliseconds (1'500)));
    CHECK_FALSE (mayBegin ({}, milliseconds (1'510)));
}

TEST_CASE ("no request takes longer than until its deadline", "[stopping]")
{
    const auto times = timesOf (milliseconds (3'000), 1);
    const auto now = start + milliseconds (4'000);
    CHECK (canComplete (times, now, { "orders/1", now + milliseconds (1'500) }, stop));
    CHECK_FALSE (canComplete (times, now, { "orders/1", now + milliseconds (1'510) }, stop));
}

TEST_CASE ("times are forgotten after two windows", "[stopping]")
{
    auto times = timesOf (milliseconds (2'400), 200);
    recordCompleted (times, start + windowLength, "orders/1", milliseconds (50));
    CHECK (*expectedTime (times, start + 2 * windowLength - seconds (1), "orders/1") > milliseconds (2'400));
    CHECK (expectedTime (times, start + 2 * windowLength, "orders/1") == milliseconds (150));
    CHECK_FALSE (expectedTime (times, start + 3 * windowLength, "orders/1").has_value());
}

TEST_CASE ("rows beyond the maximum take the place of forgotten ones only", "[stopping]")
{
    CompletionTimes times;

    for (std::size_t n = 0; n < maxRows; ++n)
        recordCompleted (times, start, "row-" + std::to_string (n), milliseconds (50));

    recordCompleted (times, start, "late", milliseconds (50));
    CHECK (times.rows.size() == maxRows);
    CHECK_FALSE (expectedTime (times, start, "late").has_value());

    const auto later = start + 2 * windowLength;
    recordCompleted (times, later, "late", milliseconds (50));
    CHECK (times.rows.size() == 1);
    CHECK (expectedTime (times, later, "late").has_value());
}

TEST_CASE ("a refused caller is told to return when another daemon, or the next process, may serve it",
           "[stopping]")
{
    CHECK (retryDelay (start + milliseconds (1'600), stop) == seconds (1));
    CHECK (retryDelay (start + milliseconds (2'600), stop) == seconds (3));
    CHECK (retryDelay (start + milliseconds (5'590), stop) == minRetryDelay);
}
