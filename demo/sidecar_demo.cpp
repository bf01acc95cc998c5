/// @file
/// Demo of the sidecar: the complete path on simulated servers of the platform, under load, with a server
/// that loses its responses, a killed daemon and a planned stop. Prints the clients' results.

#include <algorithm>
#include <iostream>
#include <map>
#include <vector>

#include "tests/support/sidecar_fleet.hpp"

namespace anisehold::demo {
namespace {

using testing::ClientRequest;
using testing::SidecarFleet;

constexpr std::uint16_t kBasePort = 25'000;
constexpr seconds kPhase{3};
constexpr int kClients = 24;
constexpr milliseconds kPauseBetween{20};

/// The clients' results in one phase.
struct PhaseResult {
    std::map<unsigned, unsigned> by_status;
    std::vector<double> latencies_ms;

    double percentile(double share) {
        if (latencies_ms.empty()) {
            return 0;
        }
        std::sort(latencies_ms.begin(), latencies_ms.end());
        const auto index = static_cast<std::size_t>(share * static_cast<double>(latencies_ms.size() - 1));
        return latencies_ms[index];
    }
};

/// Clients that send requests one after the other, in turn to the first machines of the fleet.
class Clients {
  public:
    explicit Clients(SidecarFleet& fleet) : fleet_(fleet) {}

    PhaseResult run(const std::string& name) {
        PhaseResult result;
        const auto ends = TimePoint::clock::now() + kPhase;
        int running = kClients;
        for (int client = 0; client < kClients; ++client) {
            net::EventLoop::spawn([&, client] {
                for (int number = 0; TimePoint::clock::now() < ends; ++number) {
                    send(client, name + "-" + std::to_string(client) + "-" + std::to_string(number), result);
                    SidecarFleet::pause(kPauseBetween);
                }
                --running;
            });
        }
        fleet_.eventually(kPhase + seconds(10), [&] { return running == 0; });
        return result;
    }

  private:
    void send(int client, const std::string& id, PhaseResult& result) {
        // No client uses the last two machines: the demo stops and kills these.
        const auto machine = static_cast<std::size_t>(client) % (fleet_.size() - 2);
        const bool pays = client % 4 == 0;
        const ClientRequest request = pays ? ClientRequest{"POST", "pay.example", "/pay/", id}
                                           : ClientRequest{"GET", "front.example", "/front/", id};
        const auto started = TimePoint::clock::now();
        const auto answer = fleet_.send(machine, request);
        const std::chrono::duration<double, std::milli> elapsed = TimePoint::clock::now() - started;
        ++result.by_status[answer.status];
        result.latencies_ms.push_back(elapsed.count());
    }

    SidecarFleet& fleet_;
};

void print(const std::string& title, PhaseResult result) {
    unsigned total = 0;
    std::cout << title << ":";
    for (const auto& [status, count] : result.by_status) {
        std::cout << " " << (status == 0 ? "none" : std::to_string(status)) << "=" << count;
        total += count;
    }
    std::cout << ", whole " << result.by_status[200] << " of " << total << ", p50 " << result.percentile(0.5)
              << " ms, p99 " << result.percentile(0.99) << " ms\n";
}

/// Number of at-most-once requests that ran more than once.
unsigned doubled_payments(SidecarFleet& fleet) {
    std::map<std::string, unsigned> runs;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.machine(index).service == "pay") {
            for (const auto& [id, count] : fleet.machine(index).server->runs()) {
                runs[id] += count;
            }
        }
    }
    return static_cast<unsigned>(
        std::count_if(runs.begin(), runs.end(), [](const auto& entry) { return entry.second > 1; }));
}

int run() {
    const std::vector<lab::NestedCall> calls{{"back.example", "/back/1"}, {"back.example", "/back/2"}};
    SidecarFleet fleet(kBasePort, {{"z1", "front", calls, 32},
                                   {"z2", "front", calls, 32},
                                   {"z1", "pay", {}, 32},
                                   {"z2", "pay", {}, 32},
                                   {"z1", "back", {}, 32},
                                   {"z2", "back", {}, 32},
                                   {"z1", "back", {}, 32}});
    if (!fleet.start(testing::configuration_text(1, {"front", "back"}, {"pay"}))) {
        std::cerr << "the fleet did not start\n";
        return 1;
    }
    std::cout << fleet.size() << " sidecars with their servers; store calls so far: " << fleet.store().calls()
              << "\n";
    Clients clients(fleet);
    print("calm", clients.run("calm"));
    fleet.machine(4).server->faults.loses_answers = true;
    print("one server loses its answers", clients.run("lost"));
    fleet.machine(4).server->faults.loses_answers = false;
    fleet.store().faults.refuses = true;
    fleet.kill(6);
    print("store down, one sidecar killed", clients.run("killed"));
    fleet.store().faults.refuses = false;
    fleet.terminate(5);
    print("planned stop of a sidecar", clients.run("stopped"));
    std::cout << "payments that ran twice: " << doubled_payments(fleet) << "\n";
    return doubled_payments(fleet) == 0 ? 0 : 1;
}

}  // namespace
}  // namespace anisehold::demo

int main() {
    const int status = anisehold::demo::run();
    std::cout.flush();
    anisehold::net::exit_process(status);
}
