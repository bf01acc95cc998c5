#include <catch2/catch.hpp>

#include "tests/integration/proof.hpp"

using namespace anisehold;
using namespace anisehold::testing;

TEST_CASE(
    "shedding: a deep service slows threefold while demand doubles and clients retry hard; important "
    "requests go on and bulk is shed",
    "[proof][shedding]") {
    // 18 slots and 20 ms per call serve 900 calls a second, 300 when slowed. Important demand is 108 a second
    // at the doubled rate, bulk demand 252: together more than the capacity of the slowed service.
    Fleet fleet(proof_options("shedding", 22'200));
    REQUIRE(fleet.start());
    fleet.start_load("warm-up", {"--rate", "180", "--duration-ms", "2000"});
    fleet.finish_load("warm-up");
    for (const auto& place : fleet.backends_of("deep")) {
        fleet.set_faults(place.listen, {{"slow_factor", 3}, {"health_lies", true}});
    }
    // The specified settling time: results count from two seconds after the cause.
    fleet.start_load("settling", {"--rate", "360", "--duration-ms", "2000", "--retries", "3", "--hard",
                                  "--timeout-ms", "2000"});
    fleet.finish_load("settling");
    fleet.start_load("overload", {"--rate", "450", "--duration-ms", "5000", "--retries", "3", "--hard",
                                  "--timeout-ms", "2000"});
    const auto result = fleet.finish_load("overload");
    const auto& important = result["kinds"]["important"];
    const auto& bulk = result["kinds"]["bulk"];
    INFO(result["kinds"].dump());
    CHECK(important["whole"].get<double>() >= 0.98 * important["sent"].get<double>());
    CHECK(bulk["whole"].get<double>() < 0.9 * bulk["sent"].get<double>());
    CHECK(bulk["whole"].get<double>() > 0.2 * bulk["sent"].get<double>());
}
