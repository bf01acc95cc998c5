#include "logging/line_budget.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::logging;

TEST_CASE ("lines beyond the rate are skipped and counted", "[logging]")
{
    TimePoint now (seconds (10));
    LineBudget budget;
    int written = 0;

    for (int n = 0; n < 10'000; ++n)
    {
        now += milliseconds (1);
        written += takeLine (budget, now) ? 1 : 0;
    }

    CHECK (written >= 2'300);
    CHECK (written <= 2'401);
    CHECK (takeSkipped (budget, now) == static_cast<std::uint64_t> (10'000 - written));
    CHECK (takeSkipped (budget, now) == 0);
}

TEST_CASE ("skipped lines are reported once a second, and all are counted", "[logging]")
{
    TimePoint now (seconds (10));
    LineBudget budget;
    int written = 0;
    int tellings = 0;
    std::uint64_t told = 0;

    for (int n = 0; n < 10'000; ++n)
    {
        now += milliseconds (1);

        if (! takeLine (budget, now))
            continue;

        ++written;
        const auto skipped = takeSkipped (budget, now);
        told += skipped;
        tellings += skipped > 0 ? 1 : 0;
    }

    now += minSkippedReportInterval;
    told += takeSkipped (budget, now);
    CHECK (tellings >= 5);
    CHECK (tellings <= 10);
    CHECK (told == static_cast<std::uint64_t> (10'000 - written));
}

TEST_CASE ("a quiet process writes every line", "[logging]")
{
    TimePoint now (seconds (10));
    LineBudget budget;

    for (int n = 0; n < 5'000; ++n)
    {
        now += milliseconds (10);
        REQUIRE (takeLine (budget, now));
    }
}
