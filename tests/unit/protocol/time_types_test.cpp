#include "protocol/time_types.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;

TEST_CASE("converting a time to the steady clock keeps its distance, and the maximum stays the maximum") {
    const auto in_a_minute = on_steady_clock(TimePoint::clock::now() + seconds(60));
    const auto away = in_a_minute - std::chrono::steady_clock::now();
    CHECK(away > seconds(59));
    CHECK(away <= seconds(60));
    CHECK(on_steady_clock(TimePoint::max()) == std::chrono::steady_clock::time_point::max());
}
