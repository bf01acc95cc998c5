#include "overload/time_weighted_mean.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::overload;

TEST_CASE ("the mean follows the value at its half-life", "[overload]")
{
    const TimePoint start (seconds (10));
    TimeWeightedMean mean;
    recordValue (mean, start, 8);
    CHECK (currentMean (mean, start) == Approx (0));
    CHECK (currentMean (mean, start + milliseconds (250)) == Approx (4));
    CHECK (currentMean (mean, start + seconds (20)) == Approx (8));
}

TEST_CASE ("repeated records of the same value make no difference", "[overload]")
{
    const TimePoint start (seconds (10));
    TimeWeightedMean once;
    TimeWeightedMean often;
    recordValue (once, start, 5);

    for (int n = 0; n < 100; ++n)
        recordValue (often, start + milliseconds (10 * n), 5);

    CHECK (currentMean (often, start + seconds (1)) == Approx (currentMean (once, start + seconds (1))));
}

TEST_CASE ("an alternating value yields its mean", "[overload]")
{
    TimePoint now (seconds (10));
    TimeWeightedMean mean;

    for (int n = 0; n < 2'000; ++n)
    {
        recordValue (mean, now, n % 2 == 0 ? 10 : 0);
        now += milliseconds (5);
    }

    CHECK (currentMean (mean, now) == Approx (5).margin (0.2));
}
