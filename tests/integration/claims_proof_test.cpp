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

// What was seen: a payment was begun at two servers, though its key was granted once.
//
// Order of events in one failing run: the daemon that had won the key was frozen for three seconds, as long
// as the payment's time, and sent it to a server when it went on. The server worked for 72 ms, found no time
// left for its own call, and answered 503 with "Anisehold-Not-Run". The daemon believed it and sent the
// payment to a second server. In another run the payment's own call was refused with home-unreachable while
// the daemon that accounts for it was frozen; the server said "not run" after 555 ms, and the payment ran at
// the next server.
//
// Cause: a server's "not run" was taken for a proof that the call may go to another server and that its key
// is free again, also where the server had begun; and a call was sent without a look at whether its time was
// up.
//
// Evidence: "started" of one request in the logs of two servers, the first followed by "answered" with status
// 503, not_run yes and the body "nested call refused"; all other attempts with the key got
// duplicate-in-progress, so the claims were as they should be. The test below brings the same about at once:
// the servers of the nested call are slow, so that daemons refuse it. 315 of 443 keys were begun more than
// once before the repair, one at twelve servers.
TEST_CASE("claims: a server that began a request and then refuses it is the only one that begins it",
          "[proof][claims]") {
    Fleet fleet(proof_options("cooperative", 22'550));
    REQUIRE(fleet.start());
    start_triplets(fleet, "8000");
    Fleet::pause(milliseconds(1'500));
    for (const auto& place : fleet.backends_of("registry")) {
        fleet.set_faults(place.listen, {{"slow_factor", 12.0}});
    }
    finish_triplets(fleet);
    const auto executions = fleet.executions("pay-dues");
    unsigned begun_again = 0;
    for (const auto& [id, count] : executions.started) {
        begun_again += count > 1 ? 1 : 0;
    }
    INFO(begun_again << " of " << executions.started.size() << " keys were begun more than once");
    CHECK(executions.started.size() > 200);
    CHECK(largest(executions.started) == 1);
    CHECK(largest(executions.committed) == 1);
}

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
