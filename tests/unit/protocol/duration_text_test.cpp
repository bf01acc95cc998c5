#include "protocol/duration_text.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;

TEST_CASE("durations are parsed with their unit") {
    CHECK(parse_duration("1500ms") == milliseconds(1'500));
    CHECK(parse_duration("2.5s") == milliseconds(2'500));
    CHECK(parse_duration("0ms") == milliseconds(0));
}

TEST_CASE("malformed durations are rejected") {
    for (const auto* text : {"", "5", "5m", "ms", "-1s", "5 s", "1e30s", "5ss", "nans"}) {
        INFO(text);
        CHECK_FALSE(parse_duration(text));
    }
}
