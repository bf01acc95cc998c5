#include <catch2/catch.hpp>

#include "tests/integration/proof.hpp"

using namespace anisehold;
using namespace anisehold::testing;

TEST_CASE(
    "answers: under cuts, delays, freezes and cancelled clients every answer is whole and the caller's own",
    "[proof][answers]") {
    auto options = proof_options("cooperative", 22'300);
    options.proxy_backends = true;
    Fleet fleet(options);
    REQUIRE(fleet.start());
    const std::vector<std::string> patient{"--rate", "150", "--duration-ms", "9000"};
    fleet.start_load("patient", patient);
    // These clients give up while their calls are in flight, which cancels exchanges with the servers.
    fleet.start_load("hasty", {"--rate", "150", "--duration-ms", "9000", "--timeout-ms", "30"});
    const auto faults_at = [&](std::size_t server, const nlohmann::json& faults) {
        for (const auto& service : {"registry", "calendar", "archive"}) {
            fleet.set_faults(fleet.backends_of(service)[server].proxy_control, faults);
        }
    };
    for (int round = 0; round < 2; ++round) {
        Fleet::pause(milliseconds(800));
        faults_at(0, {{"delay_ms", 60}});
        faults_at(1, {{"cut_after_bytes", 1'000}});
        Fleet::pause(milliseconds(800));
        faults_at(2, {{"frozen", true}});
        Fleet::pause(milliseconds(800));
        faults_at(0, {{"delay_ms", 0}});
        faults_at(1, {{"cut_after_bytes", -1}});
        faults_at(2, {{"frozen", false}});
        Fleet::pause(milliseconds(800));
    }
    const auto patient_result = fleet.finish_load("patient");
    const auto hasty_result = fleet.finish_load("hasty");
    CHECK(patient_result["wrong"] == 0);
    CHECK(hasty_result["wrong"] == 0);
    CHECK(patient_result["whole"].get<double>() > 0.5 * patient_result["sent"].get<double>());
    CHECK(hasty_result["failed"].get<double>() > 0.3 * hasty_result["sent"].get<double>());
}

TEST_CASE(
    "outcomes: a request reported as not run has not run, with connections cut and processes paused or "
    "killed",
    "[proof][outcomes]") {
    auto options = proof_options("cooperative", 22'400);
    options.proxy_backends = true;
    Fleet fleet(options);
    REQUIRE(fleet.start());
    fleet.start_load("bookings", {"--rate", "120", "--duration-ms", "9000", "--kind", "pay-dues"});
    const auto servers = fleet.backends_of("bookings");
    Fleet::pause(milliseconds(1'000));
    // The response is cut after its first bytes; no byte of the response arrives; the server is gone.
    fleet.set_faults(servers[0].proxy_control, {{"cut_after_bytes", 20}});
    Fleet::pause(milliseconds(1'000));
    fleet.set_faults(servers[0].proxy_control, {{"cut_after_bytes", 0}});
    Fleet::pause(milliseconds(1'000));
    fleet.freeze(servers[1].name);
    Fleet::pause(milliseconds(1'000));
    fleet.set_faults(servers[2].proxy_control, {{"cut", true}});
    Fleet::pause(milliseconds(1'000));
    fleet.thaw(servers[1].name);
    fleet.set_faults(servers[0].proxy_control, {{"cut_after_bytes", -1}});
    fleet.set_faults(servers[2].proxy_control, {{"cut", false}});
    const auto result = fleet.finish_load("bookings");
    const auto executions = fleet.executions("pay-dues");
    unsigned wrongly_reported = 0;
    for (const auto& id : result["not_run_ids"]) {
        const auto found = executions.committed.find(id.get<std::string>());
        wrongly_reported += found != executions.committed.end() && found->second > 0 ? 1 : 0;
    }
    INFO(result["kinds"].dump());
    CHECK(wrongly_reported == 0);
    // A payment whose response was lost is not sent to another server.
    CHECK(largest(executions.started) == 1);
    CHECK(result["whole"].get<double>() > 0.3 * result["sent"].get<double>());
    CHECK(result["whole"] < result["sent"]);
}
