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

namespace {

/// Number of requests that were reported as not run, and ran.
unsigned wrongly_reported(const nlohmann::json& result, const std::map<std::string, unsigned>& runs) {
    unsigned number = 0;
    for (const auto& id : result["not_run_ids"]) {
        const auto found = runs.find(id.get<std::string>());
        number += found != runs.end() && found->second > 0 ? 1 : 0;
    }
    return number;
}

}  // namespace

// Guards against a payment that ran although it was reported as not run, or ran twice: the late copy of an
// earlier payment's refusal was taken for its response.
TEST_CASE("outcomes: a late copy of another request's refusal is not taken for the response to a payment",
          "[proof][late-refusals]") {
    auto options = proof_options("cooperative", 22'650);
    options.proxy_backends = true;
    Fleet fleet(options);
    REQUIRE(fleet.start());
    for (const auto& server : fleet.backends_of("bookings")) {
        fleet.set_faults(server.listen, {{"refused_share", 0.3}});
        fleet.set_faults(server.proxy_control, {{"repeat_refusals", true}});
    }
    fleet.start_load("payments", {"--rate", "120", "--duration-ms", "6000", "--kind", "pay-dues"});
    const auto result = fleet.finish_load("payments");
    const auto executions = fleet.executions("pay-dues");
    INFO(result["kinds"].dump());
    CHECK(wrongly_reported(result, executions.started) == 0);
    CHECK(largest(executions.started) == 1);
    CHECK(result["wrong"] == 0);
    CHECK(result["whole"].get<double>() > 0.5 * result["sent"].get<double>());
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
    INFO(result["kinds"].dump());
    CHECK(wrongly_reported(result, executions.committed) == 0);
    // A payment whose response was lost is not sent to another server.
    CHECK(largest(executions.started) == 1);
    CHECK(result["whole"].get<double>() > 0.3 * result["sent"].get<double>());
    CHECK(result["whole"] < result["sent"]);
}
