/// @file
/// Demo of `anisehold serve`: the complete path on simulated servers, a table change under load, and the
/// latency added by the path.

#include <algorithm>
#include <cmath>
#include <iostream>

#include "tests/support/fleet.hpp"

namespace anisehold::demo {
namespace {

using nlohmann::json;

constexpr const char* kLoadMs = "12000";
constexpr const char* kLatencyMs = "6000";
constexpr const char* kLatencyRate = "300";

/// Latency of calls without work at the back end, through the daemons and directly, measured side by side.
struct AddedLatency {
    double straight_p50_us = 0;
    double straight_p99_us = 0;
    double through_p50_us = 0;
    double through_p99_us = 0;
};

AddedLatency measure_added_latency(testing::Fleet& fleet) {
    const std::vector<std::string> common{"--kind",        "echo",     "--rate",           kLatencyRate,
                                          "--duration-ms", kLatencyMs, "--no-client-delay"};
    const auto service = fleet.deployment().kind("echo")->service;
    std::string servers;
    for (const auto& place : fleet.backends_of(service)) {
        servers += (servers.empty() ? "" : ",") + place.advertised.text();
    }
    std::vector<std::string> straight{
        "load",
        "--id-prefix",
        "straight-",
        "--deployment",
        std::string(ANISEHOLD_SOURCE_DIR) + "/lab/deployments/" + fleet.deployment().name + ".toml",
        "--direct",
        service + "=" + servers};
    straight.insert(straight.end(), common.begin(), common.end());
    fleet.start_load("through", common);
    fleet.start_program("straight", "anisehold-lab", straight);
    const auto through_result = fleet.finish_load("through");
    const auto straight_result = fleet.finish_load("straight");
    constexpr double microseconds_per_millisecond = 1'000;
    const auto value = [&](const json& result, const char* name) {
        return result.value(name, 0.0) * microseconds_per_millisecond;
    };
    return {value(straight_result, "p50_ms"), value(straight_result, "p99_ms"),
            value(through_result, "p50_ms"), value(through_result, "p99_ms")};
}

/// Changes one cell; returns the time until it is in force at every member, or -1 if it doesn't take effect.
long long change_a_cell(testing::Fleet& fleet) {
    const auto row = fleet.deployment().kinds.front().name;
    const auto started = TimePoint::clock::now();
    const auto result = fleet.run_table({"--wait", "set", row + ".weight=7"});
    std::cout << result.output;
    return result.status == 0 ? to_milliseconds(TimePoint::clock::now() - started) : -1;
}

std::string clients_of(std::size_t zone) {
    return "clients-" + std::to_string(zone + 1);
}

void start_clients(testing::Fleet& fleet) {
    for (std::size_t zone = 0; zone < fleet.daemons().size(); ++zone) {
        // Clients call the daemon of their own zone first.
        std::vector<std::size_t> order;
        for (std::size_t step = 0; step < fleet.daemons().size(); ++step) {
            order.push_back((zone + step) % fleet.daemons().size());
        }
        fleet.start_load(clients_of(zone), {"--rate", "100", "--duration-ms", kLoadMs, "--retries", "2"},
                         order);
    }
}

/// Waits for all clients; returns the results of their requests.
json finish_clients(testing::Fleet& fleet) {
    json total{{"sent", 0}, {"whole", 0}, {"refused", 0}, {"failed", 0}, {"wrong", 0}};
    for (std::size_t zone = 0; zone < fleet.daemons().size(); ++zone) {
        const auto result = fleet.finish_load(clients_of(zone));
        for (auto& [name, sum] : total.items()) {
            sum = sum.get<long long>() + result.value(name, 0LL);
        }
    }
    return total;
}

/// Stops all daemons as planned; returns false if one didn't exit cleanly in time.
bool stop_daemons(testing::Fleet& fleet) {
    for (const auto& place : fleet.daemons()) {
        fleet.terminate(place.name);
    }
    bool stopped = true;
    for (const auto& place : fleet.daemons()) {
        stopped = fleet.wait_for_exit(place.name, seconds(20)).value_or(1) == 0 && stopped;
    }
    return stopped;
}

int run(const std::string& deployment) {
    testing::FleetOptions options;
    options.deployment = deployment;
    testing::Fleet fleet(options);
    if (!fleet.start()) {
        std::cerr << "demo: the fleet did not come up; logs are in " << fleet.run_folder() << "\n";
        return 1;
    }
    std::cout << "fleet: " << fleet.daemons().size() << " daemons, " << fleet.backends().size()
              << " servers\n";
    start_clients(fleet);
    testing::Fleet::pause(seconds(2));
    const auto in_force_ms = change_a_cell(fleet);
    const auto total = finish_clients(fleet);
    const auto latency = measure_added_latency(fleet);
    std::cout << "straight p50=" << std::lround(latency.straight_p50_us)
              << "us p99=" << std::lround(latency.straight_p99_us)
              << "us, through p50=" << std::lround(latency.through_p50_us)
              << "us p99=" << std::lround(latency.through_p99_us) << "us\n";
    const bool stopped = stop_daemons(fleet);
    std::cout << "demo: sent=" << total["sent"] << " whole=" << total["whole"]
              << " refused=" << total["refused"] << " failed=" << total["failed"]
              << " wrong=" << total["wrong"] << " table_in_force_ms=" << in_force_ms
              << " added_p99_us=" << std::lround(latency.through_p99_us - latency.straight_p99_us) << "\n";
    const bool good = total["whole"] > 0 && total["wrong"] == 0 && stopped && in_force_ms >= 0;
    return good ? 0 : 1;
}

}  // namespace
}  // namespace anisehold::demo

int main(int argc, char** argv) {
    anisehold::testing::Fleet::loop();
    const int status = anisehold::demo::run(argc > 1 ? argv[1] : "cooperative");
    std::cout.flush();
    anisehold::net::exit_process(status);
}
