#include "registration/refusal_limit.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::registration;

TEST_CASE("a writer of refused heartbeats is told of once a minute, and many at random aren't") {
    const TimePoint start{seconds(100)};
    RefusalLimit limit;
    CHECK(should_log_refusal(limit, start, "a"));
    CHECK_FALSE(should_log_refusal(limit, start + kRefusalLogInterval - milliseconds(1), "a"));
    CHECK(should_log_refusal(limit, start + kRefusalLogInterval, "a"));
    int told = 0;
    for (int n = 0; n < 1'000; ++n) {
        told += should_log_refusal(limit, start + kRefusalLogInterval, "w" + std::to_string(n)) ? 1 : 0;
    }
    CHECK(told == static_cast<int>(kMaxLoggedWriters) - 1);
}
