#include <catch2/catch.hpp>

#include "tests/integration/proof.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

constexpr unsigned kAllowance = 3;  // The table's cell.

FleetOptions retrying_fleet(std::uint16_t base_port) {
    auto options = proof_options("chain", base_port);
    options.layer_retries = 3;
    return options;
}

void fail_deep_service(Fleet& fleet) {
    for (const auto& place : fleet.backends_of("deep")) {
        fleet.set_faults(place.listen, {{"fail", true}});
    }
}

}  // namespace

TEST_CASE(
    "retries: four layers and the client all retry three times, the deep service runs 1 + R times at most",
    "[proof][retries]") {
    Fleet fleet(retrying_fleet(22'000));
    REQUIRE(fleet.start());
    fail_deep_service(fleet);
    fleet.start_load("clients",
                     {"--rate", "10", "--duration-ms", "3000", "--retries", "3", "--timeout-ms", "4000"});
    const auto result = fleet.finish_load("clients");
    const auto executions = fleet.executions("deep-read");
    CHECK(executions.started.size() == result["sent"]);
    CHECK(largest(executions.started) <= 1 + kAllowance);
}

TEST_CASE("retries: the bound holds when a daemon is killed and responses are cut in transit",
          "[proof][retries]") {
    auto options = retrying_fleet(22'100);
    options.proxy_backends = true;
    Fleet fleet(options);
    REQUIRE(fleet.start());
    fail_deep_service(fleet);
    fleet.start_load("clients", {"--rate", "15", "--duration-ms", "5000", "--timeout-ms", "4000"});
    Fleet::pause(milliseconds(1'500));
    for (const auto& place : fleet.backends_of("third")) {
        fleet.set_faults(place.proxy_control, {{"cut_after_bytes", 60}});
    }
    Fleet::pause(milliseconds(1'000));
    fleet.kill(fleet.daemons()[1].name);
    const auto result = fleet.finish_load("clients");
    const auto executions = fleet.executions("deep-read");
    CHECK(executions.started.size() > result["sent"].get<std::size_t>() / 2);
    CHECK(largest(executions.started) <= 1 + kAllowance);
}
