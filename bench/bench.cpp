/// @file
/// Overload scenarios, each run straight to the back ends, through anisehold with its mechanisms off, and
/// through anisehold: goodput, recovery, amplification and waste.

#include <sys/stat.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <set>
#include <sstream>

#include "bench/ideal.hpp"
#include "bench/series.hpp"
#include "tests/support/fleet.hpp"

namespace anisehold::bench {
namespace {

using nlohmann::json;
using testing::Fleet;

constexpr long kBeforeMs = 4'000;
constexpr long kCauseMs = 6'000;
constexpr long kAfterMs = 7'000;
/// How long a client waits for one request, its retries included.
constexpr long kPatienceMs = 3'000;
constexpr long kEndMs = kBeforeMs + kCauseMs + kAfterMs;
/// The load before the cause, as a share of what the slots can do.
constexpr double kBaseLoad = 0.7;
/// Kinds up to this priority count as important.
constexpr unsigned kImportant = 2;

enum class Mode { kStraight, kMechanismsOff, kFull };

const char* mode_name(Mode mode) {
    switch (mode) {
        case Mode::kStraight:
            return "straight";
        case Mode::kMechanismsOff:
            return "mechanisms-off";
        case Mode::kFull:
            return "anisehold";
    }
    return "";
}

/// One scenario: how demand goes, what is slowed, and what else happens.
struct Scenario {
    std::string name;
    double demand_factor = 1;  ///< Of the base load, during the cause.
    double slow_factor = 1;    ///< Of the deepest service, during the cause.
    bool hard_clients = false;
    bool moving_demand = false;    ///< All demand comes to one zone at a time.
    bool restart_service = false;  ///< The deepest service comes back cold.
    bool kill_zone = false;        ///< The daemons of one zone are killed.
};

std::vector<Scenario> all_scenarios() {
    std::vector<Scenario> scenarios(7);
    scenarios[0].name = "surge-1.5x";
    scenarios[0].demand_factor = 1.5 / kBaseLoad;
    scenarios[1].name = "surge-3x";
    scenarios[1].demand_factor = 3 / kBaseLoad;
    scenarios[1].hard_clients = true;
    scenarios[2].name = "slow-service";
    scenarios[2].slow_factor = 3;
    scenarios[3].name = "all-at-once";
    scenarios[3].demand_factor = 2;
    scenarios[3].slow_factor = 3;
    scenarios[3].hard_clients = true;
    scenarios[4].name = "zone-killed";
    scenarios[4].kill_zone = true;
    scenarios[5].name = "cold-restart";
    scenarios[5].restart_service = true;
    scenarios[6].name = "moving-demand";
    scenarios[6].moving_demand = true;
    return scenarios;
}

/// The service that most kinds reach at the end of their chains.
std::string deepest_service(const lab::Deployment& deployment) {
    return deployment.services.front().name;
}

/// The kind whose executions show amplification: the nested one called most.
std::string deepest_kind(const lab::Deployment& deployment) {
    for (const auto& kind : deployment.kinds) {
        for (const auto& called : kind.calls) {
            if (deployment.kind(called)->service == deepest_service(deployment)) {
                return called;
            }
        }
    }
    return deployment.kinds.front().name;
}

struct RunResult {
    double goodput = 0;      ///< Whole requests as a share of the ideal, from the cause's start to the end.
    double top_goodput = 0;  ///< The same of the important kinds.
    double recovery_s = 0;   ///< Negative: did not recover.
    double amplification = 0;
    unsigned most_executions = 0;
    double wasted = 0;
    double p99_ms = 0;
    Series series;
    std::map<std::string, double> errors;  ///< Answers made by the daemons, by row and kind.
};

testing::FleetOptions fleet_options(const std::string& deployment, Mode mode, std::uint16_t base_port) {
    testing::FleetOptions options;
    options.deployment = deployment;
    options.base_port = base_port;
    options.with_daemons = mode != Mode::kStraight;
    options.layer_retries = 2;
    if (mode == Mode::kMechanismsOff) {
        options.without = {"retry-escrow", "priority-admission", "early-refusal", "gate-limit"};
    }
    return options;
}

void start_clients(Fleet& fleet, const Scenario& scenario, double rate) {
    constexpr std::size_t zones = 3;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        std::vector<std::string> arguments{
            "--rate",        std::to_string(rate / zones),
            "--duration-ms", std::to_string(kEndMs),
            "--retries",     "3",
            "--timeout-ms",  std::to_string(kPatienceMs),
            "--series",      fleet.run_folder() + "/series-" + std::to_string(zone) + ".csv"};
        arguments.insert(arguments.end(), {"--profile", "0:1"});
        if (scenario.moving_demand) {
            // Each zone in turn has nearly all demand for a third of the time.
            for (std::size_t turn = 0; turn < zones; ++turn) {
                const auto at_ms = kBeforeMs + static_cast<long>(turn) * kCauseMs / static_cast<long>(zones);
                arguments.push_back(std::to_string(at_ms) + (turn == zone ? ":2.6" : ":0.2"));
            }
        } else {
            arguments.push_back(std::to_string(kBeforeMs) + ":" + std::to_string(scenario.demand_factor));
        }
        arguments.push_back(std::to_string(kBeforeMs + kCauseMs) + ":1");
        if (scenario.hard_clients) {
            arguments.emplace_back("--hard");
        }
        std::vector<std::size_t> order;
        for (std::size_t step = 0; step < zones && !fleet.daemons().empty(); ++step) {
            order.push_back((zone + step) % zones);
        }
        fleet.start_load("clients-" + std::to_string(zone), arguments, order);
    }
}

void begin_cause(Fleet& fleet, const Scenario& scenario) {
    for (const auto& place : fleet.backends_of(deepest_service(fleet.deployment()))) {
        if (scenario.slow_factor > 1) {
            fleet.set_faults(place.listen, {{"slow_factor", scenario.slow_factor}});
        }
        if (scenario.restart_service) {
            fleet.kill(place.name);
        }
    }
    if (scenario.kill_zone && !fleet.daemons().empty()) {
        fleet.kill(fleet.daemons().front().name);
    }
}

void end_cause(Fleet& fleet, const Scenario& scenario) {
    for (const auto& place : fleet.backends_of(deepest_service(fleet.deployment()))) {
        if (scenario.slow_factor > 1) {
            fleet.set_faults(place.listen, {{"slow_factor", 1}});
        }
        if (scenario.restart_service) {
            fleet.restart(place.name);
        }
    }
    if (scenario.kill_zone && !fleet.daemons().empty()) {
        fleet.restart(fleet.daemons().front().name);
    }
}

/// What arrived in each interval, and how slow the deepest service was.
std::vector<IdealInterval> ideal_intervals(const Scenario& scenario, const lab::Deployment& deployment,
                                           const Series& series) {
    std::vector<IdealInterval> intervals(static_cast<std::size_t>(kEndMs / kIntervalMs));
    for (const auto& [place, interval] : series.intervals()) {
        if (place.first < static_cast<long>(intervals.size())) {
            intervals[static_cast<std::size_t>(place.first)].offered[place.second] = interval.sent;
        }
    }
    for (long index = kBeforeMs / kIntervalMs; index < (kBeforeMs + kCauseMs) / kIntervalMs; ++index) {
        auto& slow = intervals[static_cast<std::size_t>(index)].slow;
        // A service that is gone can complete nothing.
        slow[deepest_service(deployment)] = scenario.restart_service ? 1e9 : scenario.slow_factor;
    }
    return intervals;
}

/// Whole requests against the ideal, of what arrived from the cause's start on.
void measure_goodput(const Scenario& scenario, const lab::Deployment& deployment, RunResult& result) {
    const auto intervals = ideal_intervals(scenario, deployment, result.series);
    const auto best =
        ideal_completions(deployment, intervals, kIntervalMs / 1'000.0, kPatienceMs / kIntervalMs);
    double whole = 0;
    double ideal = 0;
    double top_whole = 0;
    double top_ideal = 0;
    for (const auto& [place, interval] : result.series.intervals()) {
        if (place.first < kBeforeMs / kIntervalMs || place.first >= static_cast<long>(best.size())) {
            continue;
        }
        const double could = best[static_cast<std::size_t>(place.first)].at(place.second);
        const bool important = deployment.kind(place.second)->priority <= kImportant;
        whole += interval.whole;
        ideal += could;
        top_whole += important ? interval.whole : 0;
        top_ideal += important ? could : 0;
    }
    result.goodput = whole / std::max(ideal, 1.0);
    result.top_goodput = top_whole / std::max(top_ideal, 1.0);
    result.recovery_s = recovery_seconds(result.series, kBeforeMs, kBeforeMs + kCauseMs, kEndMs);
}

void measure_executions(Fleet& fleet, const std::set<std::string>& whole_ids, RunResult& result) {
    const auto deepest = fleet.executions(deepest_kind(fleet.deployment()));
    double started = 0;
    for (const auto& [id, count] : deepest.started) {
        started += count;
        result.most_executions = std::max(result.most_executions, count);
    }
    result.amplification = started / std::max<double>(1.0, static_cast<double>(deepest.started.size()));
    double all_seconds = 0;
    double wasted_seconds = 0;
    for (const auto& kind : fleet.deployment().kinds) {
        for (const auto& [id, seconds_held] : fleet.executions(kind.name).slot_seconds) {
            all_seconds += seconds_held;
            wasted_seconds += whole_ids.contains(id) ? 0 : seconds_held;
        }
    }
    result.wasted = wasted_seconds / std::max(all_seconds, 1e-9);
}

/// Sums the daemons' refusals and failures by row and kind, from their metrics.
std::map<std::string, double> errors_by_kind(Fleet& fleet) {
    std::map<std::string, double> errors;
    for (const auto& place : fleet.daemons()) {
        std::istringstream lines(fleet.get_text(place.admin, "/metrics"));
        std::string line;
        while (std::getline(lines, line)) {
            const auto end = line.rfind(' ');
            if (line.rfind("anisehold_errors_total{", 0) == 0) {
                const auto labels = line.substr(line.find('{'), end - line.find('{'));
                errors[labels] += std::stod(line.substr(end + 1));
            }
        }
    }
    return errors;
}

bool run_once(const std::string& deployment, const Scenario& scenario, Mode mode, std::uint16_t base_port,
              RunResult& result) {
    Fleet fleet(fleet_options(deployment, mode, base_port));
    if (!fleet.start()) {
        std::cerr << "bench: the fleet did not come up; logs are in " << fleet.run_folder() << "\n";
        return false;
    }
    start_clients(fleet, scenario, kBaseLoad * capacity_per_second(fleet.deployment()));
    Fleet::pause(milliseconds(kBeforeMs));
    begin_cause(fleet, scenario);
    Fleet::pause(milliseconds(kCauseMs));
    end_cause(fleet, scenario);
    std::set<std::string> whole_ids;
    for (std::size_t zone = 0; zone < 3; ++zone) {
        const auto name = "clients-" + std::to_string(zone);
        const auto summary = fleet.finish_load(name);
        if (!summary.is_object()) {
            return false;
        }
        result.p99_ms = std::max(result.p99_ms, summary["p99_ms"].get<double>());
        for (const auto& id : summary["whole_ids"]) {
            whole_ids.insert(id.get<std::string>());
        }
        result.series.add_file(fleet.run_folder() + "/series-" + std::to_string(zone) + ".csv");
    }
    result.errors = errors_by_kind(fleet);
    measure_goodput(scenario, fleet.deployment(), result);
    measure_executions(fleet, whole_ids, result);
    return true;
}

void write_files(const std::string& folder, const std::string& name,
                 const std::map<Mode, RunResult>& results) {
    std::ofstream csv(folder + "/" + name + ".csv");
    csv << "mode,time_ms,kind,sent,whole\n";
    std::vector<Curve> curves;
    const std::map<Mode, std::string> colours{
        {Mode::kStraight, "#c0392b"}, {Mode::kMechanismsOff, "#7f8c8d"}, {Mode::kFull, "#1f6fb2"}};
    for (const auto& [mode, result] : results) {
        curves.push_back({mode_name(mode), colours.at(mode), result.series.whole_per_second()});
        for (const auto& [place, interval] : result.series.intervals()) {
            csv << mode_name(mode) << "," << place.first * kIntervalMs << "," << place.second << ","
                << interval.sent << "," << interval.whole << "\n";
        }
    }
    write_svg(folder + "/" + name + ".svg", name, curves, kBeforeMs, kBeforeMs + kCauseMs);
}

void print_run(const std::string& name, Mode mode, const RunResult& result) {
    std::cout << "  " << std::left << std::setw(28) << name << std::setw(16) << mode_name(mode) << std::fixed
              << std::setprecision(3) << " goodput=" << result.goodput << " top=" << result.top_goodput
              << " recovery_s=" << result.recovery_s << " amplification=" << result.amplification
              << " most=" << result.most_executions << " wasted=" << result.wasted << std::setprecision(0)
              << " p99_ms=" << result.p99_ms << std::endl;
    for (const auto& [labels, count] : result.errors) {
        std::cout << "      " << labels << " " << count << std::endl;
    }
}

}  // namespace

int run(int argc, char** argv) {
    CLI::App app{"Overload bench"};
    std::vector<std::string> deployments{"cooperative", "brightwater"};
    std::vector<std::string> only;
    std::string folder = std::string(ANISEHOLD_BINARY_DIR) + "/bench";
    bool full_only = false;
    app.add_option("--deployment", deployments, "Deployments to run");
    app.add_option("--scenario", only, "Scenarios to run; all by default");
    app.add_option("--out", folder, "Folder for CSV and SVG files");
    app.add_flag("--full-only", full_only, "Only the runs through anisehold with all mechanisms");
    CLI11_PARSE(app, argc, argv);
    mkdir(folder.c_str(), 0755);
    const std::vector<Mode> modes =
        full_only ? std::vector<Mode>{Mode::kFull}
                  : std::vector<Mode>{Mode::kStraight, Mode::kMechanismsOff, Mode::kFull};
    std::uint16_t base_port = 25'000;
    for (const auto& deployment : deployments) {
        for (const auto& scenario : all_scenarios()) {
            if (!only.empty() && std::find(only.begin(), only.end(), scenario.name) == only.end()) {
                continue;
            }
            std::map<Mode, RunResult> results;
            const auto name = deployment + "-" + scenario.name;
            for (const auto mode : modes) {
                if (!run_once(deployment, scenario, mode, base_port, results[mode])) {
                    return 1;
                }
                base_port = static_cast<std::uint16_t>(base_port + 50);
                print_run(name, mode, results[mode]);
            }
            write_files(folder, name, results);
            if (full_only) {
                continue;
            }
            const auto& straight = results[Mode::kStraight];
            const auto& full = results[Mode::kFull];
            std::cout << std::fixed << std::setprecision(3) << "bench: scenario=" << name
                      << " baseline_goodput=" << straight.goodput << " goodput=" << full.goodput
                      << " top_goodput=" << full.top_goodput << " recovery_baseline_s=" << straight.recovery_s
                      << " recovery_s=" << full.recovery_s << " amplification=" << full.amplification
                      << " wasted=" << full.wasted << std::endl;
        }
    }
    return 0;
}

}  // namespace anisehold::bench

int main(int argc, char** argv) {
    anisehold::testing::Fleet::loop();
    const int status = anisehold::bench::run(argc, argv);
    std::cout.flush();
    anisehold::net::exit_process(status);
}
