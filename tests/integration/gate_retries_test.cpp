// Retries that gates grant, with real sidecar processes: the servers of a service decline a share of their
// arrivals whatever their load.

#include <catch2/catch.hpp>

#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

constexpr double kDeclinedShare = 0.55;

/// Two machines of "front", and two of "pay", which runs at most once.
std::vector<SidecarMachinePlan> plans(unsigned tolerated_zone_losses) {
    std::vector<SidecarMachinePlan> machines;
    for (const auto* service : {"front", "pay"}) {
        for (const auto* zone : {"z1", "z2"}) {
            SidecarMachinePlan plan{zone, service, {}, 16, milliseconds(5)};
            plan.tolerated_zone_losses = tolerated_zone_losses;
            machines.push_back(plan);
        }
    }
    return machines;
}

void set_declined_share(SidecarFleet& fleet, double share) {
    for (const std::size_t index : {2U, 3U}) {
        fleet.machine(index).server->faults.declined_share = share;
    }
}

unsigned runs_of(SidecarFleet& fleet, const std::string& id) {
    unsigned runs = 0;
    for (const std::size_t index : {2U, 3U}) {
        const auto& counted = fleet.machine(index).server->runs();
        const auto found = counted.find(id);
        runs += found == counted.end() ? 0 : found->second;
    }
    return runs;
}

/// Sends 60 requests in about 6 s; returns the number served. Each runs as often as its status says.
unsigned serve_while_declining(SidecarFleet& fleet) {
    unsigned served = 0;
    for (int request = 0; request < 60; ++request) {
        const auto id = "pay-" + std::to_string(request);
        const auto machine = static_cast<std::size_t>(request) % fleet.size();
        const auto answer = fleet.send(machine, {"POST", "pay.example", "/pay/", id});
        CHECK((answer.status == 200 || answer.status == 503));
        CHECK(runs_of(fleet, id) == (answer.status == 200 ? 1 : 0));
        served += answer.status == 200 ? 1 : 0;
        fleet.pause(milliseconds(100));
    }
    return served;
}

bool has_logged(SidecarFleet& fleet, std::size_t machine, const std::string& text) {
    return fleet.log_of(machine).find(text) != std::string::npos;
}

}  // namespace

// Guards against requests that fail although declined attempts have not run and retries are left: with two
// servers and one retry each, 0.30 of the requests fail.
TEST_CASE("declined requests are offered again as far as the gates grant it, and run once",
          "[gate-retries]") {
    SidecarFleet fleet(25'200, plans(1));
    REQUIRE(fleet.start(configuration_text(1, {"front"}, {"pay"})));
    fleet.pause(milliseconds(2'500));  // A new process has no share of the extra retries in its first window.
    set_declined_share(fleet, kDeclinedShare);
    const auto served = serve_while_declining(fleet);
    INFO("served " << served << " of 60");
    CHECK(served >= 52);
    CHECK(has_logged(fleet, 2, "\"state\":\"begin\""));
    CHECK(has_logged(fleet, 3, "\"state\":\"begin\""));
    CHECK(has_logged(fleet, 0, "retry-limit-moved"));
    CHECK(fleet.metrics_of(2).find("anisehold_gate_retries_total{rank=\"1\",result=\"granted\"") !=
          std::string::npos);
    set_declined_share(fleet, 0);
    CHECK(fleet.eventually(seconds(4), [&] { return has_logged(fleet, 2, "\"state\":\"end\""); }));
}

// Guards against retries beyond what the gate grants.
TEST_CASE("a retry that the gate refuses ends the request as not run", "[gate-retries]") {
    SidecarFleet fleet(25'300, plans(1));
    REQUIRE(fleet.start(configuration_text(1, {"front"}, {"pay"})));
    fleet.pause(milliseconds(2'500));
    set_declined_share(fleet, 1);
    unsigned exhausted = 0;
    for (int request = 0; request < 40; ++request) {
        const auto id = "pay-" + std::to_string(request);
        const auto answer = fleet.send(0, {"POST", "pay.example", "/pay/", id});
        CHECK(answer.status == 503);
        CHECK(answer.fields.find("Retry-After"));
        CHECK(runs_of(fleet, id) == 0);
    }
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        exhausted += fleet.metrics_of(index).find("kind=\"retries-exhausted\"") != std::string::npos ? 1 : 0;
    }
    CHECK(exhausted == 1);
    CHECK(fleet.metrics_of(2).find("result=\"refused\"") != std::string::npos);
}

// Guards against any effect while no loss of a zone must be tolerated.
TEST_CASE("without tolerated losses gates neither grant nor refuse retries", "[gate-retries]") {
    SidecarFleet fleet(25'400, plans(0));
    REQUIRE(fleet.start(configuration_text(1, {"front"}, {"pay"})));
    set_declined_share(fleet, kDeclinedShare);
    serve_while_declining(fleet);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        CHECK_FALSE(has_logged(fleet, index, "server-declining"));
        CHECK_FALSE(has_logged(fleet, index, "retry-limit-moved"));
        CHECK(fleet.metrics_of(index).find("result=\"granted\"") == std::string::npos);
    }
}
