#include <catch2/catch.hpp>

#include "tests/integration/proof.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

/// Three clients send the same keys at about the same instants, each through another zone's daemon first.
void start_triplets(Fleet& fleet, const std::string& duration_ms) {
    for (std::size_t zone = 0; zone < 3; ++zone) {
        fleet.start_load("client-" + std::to_string(zone),
                         {"--rate", "60", "--duration-ms", duration_ms, "--kind", "pay-dues", "--id-prefix",
                          "same-", "--retries", "2", "--timeout-ms", "4000"},
                         {zone, (zone + 1) % 3, (zone + 2) % 3});
    }
}

void finish_triplets(Fleet& fleet) {
    for (std::size_t zone = 0; zone < 3; ++zone) {
        fleet.finish_load("client-" + std::to_string(zone));
    }
}

}  // namespace

TEST_CASE("claims: one key sent through three zones at once runs exactly once", "[proof][claims]") {
    Fleet fleet(proof_options("cooperative", 22'500));
    REQUIRE(fleet.start());
    start_triplets(fleet, "4000");
    finish_triplets(fleet);
    const auto executions = fleet.executions("pay-dues");
    CHECK(executions.started.size() > 150);
    CHECK(largest(executions.started) == 1);
    unsigned run = 0;
    for (const auto& [id, count] : executions.committed) {
        run += count;
    }
    CHECK(run >= executions.started.size() - 1);
}

TEST_CASE(
    "claims: holders killed, restarted empty, frozen and thawed, with the store down in between; no key "
    "runs twice",
    "[proof][claims]") {
    Fleet fleet(proof_options("cooperative", 22'600));
    REQUIRE(fleet.start());
    const auto& daemons = fleet.daemons();
    start_triplets(fleet, "16000");
    Fleet::pause(milliseconds(1'500));
    fleet.kill(daemons[0].name);
    Fleet::pause(milliseconds(1'000));
    fleet.restart(daemons[0].name);
    Fleet::pause(milliseconds(4'000));
    fleet.freeze(daemons[1].name);
    fleet.set_faults(fleet.store(), {{"outage", true}});
    Fleet::pause(milliseconds(3'000));
    fleet.thaw(daemons[1].name);
    Fleet::pause(milliseconds(1'000));
    fleet.set_faults(fleet.store(), {{"outage", false}});
    finish_triplets(fleet);
    const auto executions = fleet.executions("pay-dues");
    CHECK(executions.started.size() > 400);
    CHECK(largest(executions.started) == 1);
    // The restarted holder serves again, under a later view.
    CHECK(fleet.eventually(seconds(20), [&] {
        const auto status = fleet.get(daemons[0].admin, "/status");
        return status && status->at("claims_serving") == true && status->at("holder_epoch") > 1;
    }));
}
