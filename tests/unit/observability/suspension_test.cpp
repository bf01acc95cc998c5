#include "observability/suspension.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::observability;

TEST_CASE("a suspension is reported once, as the lead of one clock over the other") {
    SuspensionWatch watch;
    const TimePoint start{seconds(500)};
    const Duration steady = seconds(100);
    CHECK_FALSE(detect_suspension(watch, start, steady));
    CHECK_FALSE(detect_suspension(watch, start + seconds(1), steady + seconds(1)));
    CHECK(detect_suspension(watch, start + seconds(6), steady + seconds(2)) == Duration(seconds(4)));
    CHECK_FALSE(detect_suspension(watch, start + seconds(7), steady + seconds(3)));
}

TEST_CASE("a short delay between the two clock readings is not a suspension") {
    SuspensionWatch watch;
    const TimePoint start{seconds(500)};
    CHECK_FALSE(detect_suspension(watch, start, seconds(100)));
    CHECK_FALSE(detect_suspension(watch, start + seconds(1), seconds(101) - milliseconds(150)));
    CHECK_FALSE(detect_suspension(watch, start + seconds(2), seconds(102) + milliseconds(150)));
}
