#include "registration/refusal_limit.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::registration;

TEST_CASE("a writer of refused heartbeats is told of once a minute, and many at random aren't") {
    const TimePoint start{seconds(100)};
    RefusalLimit limit;
    CHECK(take_refusal(limit, start, "a"));
    CHECK_FALSE(take_refusal(limit, start + kRefusalPeriod - milliseconds(1), "a"));
    CHECK(take_refusal(limit, start + kRefusalPeriod, "a"));
    int told = 0;
    for (int n = 0; n < 1'000; ++n) {
        told += take_refusal(limit, start + kRefusalPeriod, "w" + std::to_string(n)) ? 1 : 0;
    }
    CHECK(told == static_cast<int>(kMostRefusedWriters) - 1);
}
