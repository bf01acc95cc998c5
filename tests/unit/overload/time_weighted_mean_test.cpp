#include "overload/time_weighted_mean.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::overload;

TEST_CASE ("the mean follows the value at its half-life", "[overload]")
{
    const TimePoint start (seconds (10));
    TimeWeightedMean mean;
    noteValue (mean, start, 8);
    CHECK (meanOf (mean, start) == Approx (0));
    CHECK (meanOf (mean, start + milliseconds (250)) == Approx (4));
    CHECK (meanOf (mean, start + seconds (20)) == Approx (8));
}

TEST_CASE ("how often the value is noted makes no difference", "[overload]")
{
    const TimePoint start (seconds (10));
    TimeWeightedMean once;
    TimeWeightedMean often;
    noteValue (once, start, 5);

    for (int n = 0; n < 100; ++n)
        noteValue (often, start + milliseconds (10 * n), 5);

    CHECK (meanOf (often, start + seconds (1)) == Approx (meanOf (once, start + seconds (1))));
}

TEST_CASE ("a value that alternates gives its mean", "[overload]")
{
    TimePoint now (seconds (10));
    TimeWeightedMean mean;

    for (int n = 0; n < 2'000; ++n)
    {
        noteValue (mean, now, n % 2 == 0 ? 10 : 0);
        now += milliseconds (5);
    }

    CHECK (meanOf (mean, now) == Approx (5).margin (0.2));
}
