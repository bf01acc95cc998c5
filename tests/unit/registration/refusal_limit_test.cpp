#include "registration/refusal_limit.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::registration;

TEST_CASE(
    "a writer of refused heartbeats is logged once per interval, and the number of logged writers is "
    "bounded") {
    const TimePoint start{seconds(100)};
    RefusalLimit limit;
    CHECK(should_log_refusal(limit, start, "a"));
    CHECK_FALSE(should_log_refusal(limit, start + kRefusalLogInterval - milliseconds(1), "a"));
    CHECK(should_log_refusal(limit, start + kRefusalLogInterval, "a"));
    int logged = 0;
    for (int n = 0; n < 1'000; ++n) {
        logged += should_log_refusal(limit, start + kRefusalLogInterval, "w" + std::to_string(n)) ? 1 : 0;
    }
    CHECK(logged == static_cast<int>(kMaxLoggedWriters) - 1);
}
