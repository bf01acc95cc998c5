// Tenants, keys and quotas with real sidecar processes; the test process simulates the store, the servers and
// the clients.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;
using nlohmann::json;

namespace {

std::uint16_t next_base_port() {
    static std::uint16_t port = 24'000;  // Up to 24'900; no other tests use these ports.
    port = static_cast<std::uint16_t>(port + 100);
    return port;
}

/// Servers of "front" call "back" once, without a key.
std::vector<SidecarMachinePlan> machines() {
    const std::vector<lab::NestedCall> calls{{"back.example", "/back/1"}};
    return {{"z1", "front", calls, 16, milliseconds(5)},
            {"z2", "front", calls, 16, milliseconds(5)},
            {"z1", "back", {}, 16, milliseconds(5)},
            {"z2", "back", {}, 16, milliseconds(5)}};
}

struct TenantPlan {
    std::vector<std::string> keys;
    double rate = 0;
    double burst = 0;
};

/// "back" may be called without a key.
std::string configuration(unsigned version, const std::map<std::string, TenantPlan>& tenants) {
    auto document = json::parse(configuration_text(version, {"front", "back"}, {}));
    document["routes"]["route-back"]["allowAnonymous"] = true;
    for (const auto& [name, plan] : tenants) {
        document["tenants"][name] = {{"apiKeys", plan.keys}, {"priority", 1}};
        if (plan.rate > 0) {
            document["tenants"][name]["requestsPerS"] = plan.rate;
            document["tenants"][name]["burst"] = plan.burst;
        }
    }
    return document.dump();
}

ClientRequest keyed(const std::string& id, const std::string& key) {
    ClientRequest request{"GET", "front.example", "/front/a", id};
    request.fields.add("Authorization", "Bearer " + key);
    request.fields.add("Tenant", "forged");
    return request;
}

std::string tenant_named(SidecarFleet& fleet, const std::string& id) {
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        const auto& named = fleet.machine(index).server->tenants();
        const auto found = named.find(id);
        if (found != named.end()) {
            return found->second;
        }
    }
    return "(not run)";
}

std::size_t keys_seen(SidecarFleet& fleet) {
    std::size_t keys = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        keys += fleet.machine(index).server->keys_seen();
    }
    return keys;
}

/// Launches the fleet and waits until a request with a key is served at every machine.
bool start_with_key(SidecarFleet& fleet, const std::string& text, const std::string& key) {
    if (!fleet.launch(text)) {
        return false;
    }
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        unsigned tries = 0;
        const bool served = fleet.eventually(seconds(10), [&] {
            const auto id = "start-" + std::to_string(index) + "-" + std::to_string(++tries);
            return fleet.send(index, keyed(id, key)).status == 200;
        });
        if (!served) {
            return false;
        }
    }
    return true;
}

}  // namespace

TEST_CASE("a request is served for its key's tenant, and the key is not sent to servers", "[tenants]") {
    SidecarFleet fleet(next_base_port(), machines());
    REQUIRE(start_with_key(fleet, configuration(1, {{"blue", {{"secret-b"}}}, {"green", {{"secret-g"}}}}),
                           "secret-b"));
    CHECK(fleet.send(0, keyed("one", "secret-b")).status == 200);
    CHECK(tenant_named(fleet, "one") == "blue");
    CHECK(fleet.send(1, keyed("two", "secret-g")).status == 200);
    CHECK(tenant_named(fleet, "two") == "green");
    CHECK(fleet.send(1, keyed("three", "secret-x")).status == 401);
    CHECK(fleet.send(1, {"GET", "front.example", "/front/a", "four"}).status == 401);
    CHECK(tenant_named(fleet, "three") == "(not run)");
    ClientRequest anonymous{"GET", "back.example", "/back/a", "five"};
    anonymous.fields.add("Tenant", "forged");
    CHECK(fleet.send(0, anonymous).status == 200);
    CHECK(tenant_named(fleet, "five").empty());
    CHECK(keys_seen(fleet) == 0);
    fleet.pause(milliseconds(500));
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        CHECK(fleet.log_of(index).find("secret-") == std::string::npos);
        CHECK(fleet.metrics_of(index).find("secret-") == std::string::npos);
    }
    CHECK(fleet.log_of(0).find("\"tenant\":\"blue\"") != std::string::npos);
}

TEST_CASE("a revoked key is not accepted after the revocation time, with or without access to the store",
          "[tenants]") {
    SidecarFleet fleet(next_base_port(), machines());
    const TenantPlan both{{"secret-1", "secret-2"}};
    REQUIRE(start_with_key(fleet, configuration(1, {{"blue", both}}), "secret-1"));
    SECTION("connected") {
        fleet.configure(configuration(2, {{"blue", {{"secret-2"}}}}));
        CHECK(fleet.eventually(seconds(2),
                               [&] { return fleet.send(1, keyed("a", "secret-1")).status == 401; }));
        CHECK(fleet.send(1, keyed("b", "secret-2")).status == 200);
    }
    SECTION("the store stops responding, and no daemon learns of the change") {
        fleet.store().faults.is_silent = true;
        fleet.configure(configuration(2, {{"blue", {{"secret-2"}}}}));
        // Keys must still be accepted for a while: callers do not notice an outage of the store alone.
        CHECK(fleet.send(0, keyed("c", "secret-2")).status == 200);
        fleet.pause(fleet.machine(0).key_revocation);
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            for (const auto* key : {"secret-1", "secret-2"}) {
                const auto id = std::string("d") + std::to_string(index) + key;
                CHECK(fleet.send(index, keyed(id, key)).status == 503);
                CHECK(tenant_named(fleet, id) == "(not run)");
            }
        }
        CHECK(fleet.send(0, {"GET", "back.example", "/back/a", "e"}).status == 200);
        fleet.store().faults.is_silent = false;
        CHECK(fleet.eventually(seconds(6),
                               [&] { return fleet.send(0, keyed("f", "secret-2")).status == 200; }));
        CHECK(fleet.send(0, keyed("g", "secret-1")).status == 401);
    }
    SECTION("a daemon is paused during the change") {
        fleet.freeze(0);
        fleet.configure(configuration(2, {{"blue", {{"secret-2"}}}}));
        fleet.pause(fleet.machine(0).key_revocation + milliseconds(200));
        fleet.thaw(0);
        const auto status = fleet.send(0, keyed("h", "secret-1")).status;
        CHECK((status == 503 || status == 401));
        CHECK(tenant_named(fleet, "h") == "(not run)");
    }
}

TEST_CASE("a quota applies to all daemons together, and does not affect other tenants", "[tenants]") {
    SidecarFleet fleet(next_base_port(), machines());
    REQUIRE(start_with_key(
        fleet, configuration(1, {{"blue", {{"secret-b"}, 20, 20}}, {"green", {{"secret-g"}}}}), "secret-g"));
    fleet.pause(milliseconds(1'500));
    std::map<unsigned, unsigned> statuses;
    double retry_after = 0;
    const auto began = TimePoint::clock::now();
    for (int index = 0; index < 160; ++index) {
        const auto answer = fleet.send(static_cast<std::size_t>(index) % fleet.size(),
                                       keyed("q-" + std::to_string(index), "secret-b"));
        ++statuses[answer.status];
        if (answer.status == 429) {
            CHECK(tenant_named(fleet, "q-" + std::to_string(index)) == "(not run)");
            retry_after = std::stod(std::string(answer.fields.find("Retry-After").value_or("0")));
        }
    }
    const double elapsed_s = std::chrono::duration<double>(TimePoint::clock::now() - began).count();
    CHECK(statuses[200] + statuses[429] == 160);
    CHECK(statuses[200] >= 20);
    CHECK(statuses[200] <= 20 + 20 * elapsed_s + 2);
    CHECK(retry_after > 0);
    CHECK(retry_after < 6);
    CHECK(fleet.send(0, keyed("other", "secret-g")).status == 200);
    CHECK(fleet.eventually(seconds(3),
                           [&] { return fleet.send(2, keyed("later", "secret-b")).status == 200; }));
}

TEST_CASE("a tenant is counted on after its owner is killed", "[tenants]") {
    SidecarFleet fleet(next_base_port(), machines());
    std::map<std::string, TenantPlan> tenants;
    for (int index = 0; index < 8; ++index) {
        const auto name = std::to_string(index);
        tenants["tenant-" + name] = {{"secret-" + name}, 50, 50};
    }
    REQUIRE(start_with_key(fleet, configuration(1, tenants), "secret-0"));
    fleet.kill(3);
    for (int index = 0; index < 8; ++index) {
        const auto name = std::to_string(index);
        CHECK(fleet.eventually(
            seconds(2), [&] { return fleet.send(0, keyed("k-" + name, "secret-" + name)).status == 200; }));
    }
    // Waits until the next owner grants the whole rate, not only the part that it grants while the first
    // owner may be running.
    fleet.pause(seconds(1));
    for (int index = 0; index < 8; ++index) {
        const auto name = std::to_string(index);
        unsigned served = 0;
        for (int request = 0; request < 25; ++request) {
            const auto id = "l-" + name + "-" + std::to_string(request);
            served += fleet.send(0, keyed(id, "secret-" + name)).status == 200 ? 1 : 0;
        }
        CHECK(served == 25);
    }
}

TEST_CASE("a quota applies after all daemons were killed", "[tenants]") {
    SidecarFleet fleet(next_base_port(), machines());
    REQUIRE(start_with_key(
        fleet, configuration(1, {{"blue", {{"secret-b"}, 20, 20}}, {"green", {{"secret-g"}}}}), "secret-g"));
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.kill(index);
    }
    const auto began = TimePoint::clock::now();
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.start_sidecar(index);
    }
    unsigned served = 0;
    int sent = 0;
    while (TimePoint::clock::now() - began < seconds(3)) {
        const auto answer = fleet.send(static_cast<std::size_t>(sent) % fleet.size(),
                                       keyed("r-" + std::to_string(sent), "secret-b"));
        served += answer.status == 200 ? 1 : 0;
        ++sent;
    }
    const double elapsed_s = std::chrono::duration<double>(TimePoint::clock::now() - began).count();
    CHECK(served <= 1.1 * 20 * elapsed_s + 20);
    CHECK(served >= 20);
}

TEST_CASE("a part of a split without a server refuses its share", "[tenants]") {
    SidecarFleet fleet(next_base_port(), machines());
    auto document = json::parse(configuration_text(1, {"front", "back", "gone"}, {}));
    auto& route = document["routes"]["route-back"];
    route.erase("service");
    route["trafficSplit"] = {{{"service", "back"}, {"weight", 75}}, {{"service", "gone"}, {"weight", 25}}};
    REQUIRE(fleet.launch(document.dump()));
    REQUIRE(fleet.eventually(seconds(10), [&] {
        return fleet.send(0, {"GET", "front.example", "/front/a", "s"}).status != 0;
    }));
    REQUIRE(fleet.eventually(seconds(10), [&] {
        return fleet.send(1, {"GET", "back.example", "/back/a", "t"}).status == 200;
    }));
    fleet.pause(seconds(3));
    std::map<unsigned, unsigned> statuses;
    for (int index = 0; index < 200; ++index) {
        const auto id = "split-" + std::to_string(index);
        ++statuses[fleet.send(static_cast<std::size_t>(index) % 4, {"GET", "back.example", "/back/a", id})
                       .status];
    }
    CHECK(statuses[200] >= 145);
    CHECK(statuses[200] <= 155);
    CHECK(statuses[200] + statuses[503] == 200);
}
