/// @file
/// `anisehold-lab`: stand-ins, load and fault injection for tests, demos and benches. Never needed in
/// production.

#include <CLI/CLI.hpp>
#include <boost/fiber/operations.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "lab/backend.hpp"
#include "lab/deployment.hpp"
#include "lab/load.hpp"
#include "lab/machines.hpp"
#include "lab/proxy.hpp"
#include "lab/replay.hpp"
#include "lab/store.hpp"
#include "net/event_loop.hpp"

namespace anisehold::lab {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr milliseconds kDrainPoll{20};
/// A draining back end stays up at least this long, so that callers notice.
constexpr milliseconds kDrainLinger{1'000};

bool read_endpoint(const std::string& name, const std::string& text, Endpoint& endpoint) {
    const auto parsed = parse_endpoint(text);
    if (!parsed) {
        std::cerr << name << ": \"" << text << "\" is not IP:PORT with a numeric address\n";
        return false;
    }
    endpoint = *parsed;
    return true;
}

bool read_endpoints(const std::string& name, const std::vector<std::string>& texts,
                    std::vector<Endpoint>& endpoints) {
    for (const auto& text : texts) {
        if (!read_endpoint(name, text, endpoints.emplace_back())) {
            return false;
        }
    }
    return true;
}

bool started(std::error_code error, const std::string& address) {
    if (error) {
        std::cerr << address << ": " << error.message() << "\n";
    }
    return !error;
}

/// Options that several commands have.
struct CommonOptions {
    std::string listen;
    std::string deployment_file;
    std::vector<std::string> daemons;
    std::vector<std::string> services;

    bool targets(CallTargets& result) const {
        return read_endpoints("--daemon", daemons, result.daemons) && parse_service_targets(services, result);
    }
};

void add_target_options(CLI::App& command, CommonOptions& options) {
    command.add_option("--deployment", options.deployment_file, "Deployment file")->required();
    command.add_option("--daemon", options.daemons, "Daemon to call through, IP:PORT, nearest first");
    command.add_option("--direct", options.services, "SERVICE=IP:PORT,... to call straight");
}

int run_store(net::EventLoop& loop, const CommonOptions& options) {
    Endpoint listen;
    if (!read_endpoint("--listen", options.listen, listen)) {
        return kUsage;
    }
    Store store(loop.io());
    if (!started(store.start(listen), options.listen)) {
        return kFailed;
    }
    loop.wait_for_stop_signal();
    net::exit_process(kDone);
}

int run_machines(net::EventLoop& loop, const CommonOptions& options, const std::string& list_file) {
    Endpoint listen;
    if (!read_endpoint("--listen", options.listen, listen)) {
        return kUsage;
    }
    Machines machines(loop.io());
    if (!list_file.empty()) {
        std::ifstream file(list_file);
        auto groups = nlohmann::json::parse(file, nullptr, false);
        if (!groups.is_array()) {
            std::cerr << list_file << ": is not a JSON array\n";
            return kUsage;
        }
        machines.set_list(std::move(groups));
    }
    if (!started(machines.start(listen), options.listen)) {
        return kFailed;
    }
    loop.wait_for_stop_signal();
    net::exit_process(kDone);
}

int run_backend(net::EventLoop& loop, const CommonOptions& options, const BackendOptions& backend_options) {
    Endpoint listen;
    CallTargets targets;
    auto deployment = load_deployment(options.deployment_file);
    if (!deployment || !read_endpoint("--listen", options.listen, listen) || !options.targets(targets)) {
        return kUsage;
    }
    Backend backend(loop.io(), std::move(*deployment), backend_options, std::move(targets));
    if (!started(backend.start(listen), options.listen)) {
        return kFailed;
    }
    loop.wait_for_stop_signal();
    backend.drain();
    boost::this_fiber::sleep_for(kDrainLinger);
    while (backend.in_flight() > 0) {
        boost::this_fiber::sleep_for(kDrainPoll);
    }
    net::exit_process(kDone);
}

bool parse_profile(const std::vector<std::string>& steps, LoadOptions& options) {
    for (const auto& step : steps) {
        std::istringstream text(step);
        long long at_ms = 0;
        char separator = 0;
        double factor = 0;
        if (!(text >> at_ms >> separator >> factor) || separator != ':') {
            std::cerr << "--profile: \"" << step << "\" is not MILLISECONDS:FACTOR\n";
            return false;
        }
        options.profile.push_back({milliseconds(at_ms), factor});
    }
    return true;
}

int run_load(net::EventLoop& loop, const CommonOptions& options, LoadOptions load_options,
             const std::vector<std::string>& profile) {
    CallTargets targets;
    auto deployment = load_deployment(options.deployment_file);
    if (!deployment || !options.targets(targets) || !parse_profile(profile, load_options)) {
        return kUsage;
    }
    if (!load_options.only_kind.empty() && deployment->kind(load_options.only_kind) == nullptr) {
        std::cerr << "--kind: no such kind\n";
        return kUsage;
    }
    Load load(loop.io(), std::move(*deployment), std::move(load_options), std::move(targets));
    return load.run() ? kDone : kFailed;
}

int run_proxy(net::EventLoop& loop, const CommonOptions& options, const std::string& target_text,
              const std::string& control_text) {
    Endpoint listen;
    Endpoint target;
    Endpoint control;
    if (!read_endpoint("--listen", options.listen, listen) ||
        !read_endpoint("--target", target_text, target) ||
        !read_endpoint("--control", control_text, control)) {
        return kUsage;
    }
    Proxy proxy(loop.io(), target);
    if (!started(proxy.start(listen, control), options.listen)) {
        return kFailed;
    }
    loop.wait_for_stop_signal();
    net::exit_process(kDone);
}

/// Replays a trace and compares with the stated outcomes; prints each kind's.
int run_replay(const CommonOptions& options, const std::string& trace_file, const std::string& stated_file,
               const std::vector<std::string>& without) {
    auto deployment = load_deployment(options.deployment_file);
    const auto trace = load_trace(trace_file);
    const auto stated = load_stated_outcomes(stated_file);
    if (!deployment || !trace || !stated) {
        return kUsage;
    }
    Replay replay(std::move(*deployment), config::MechanismSet(without));
    auto outcomes = replay.run(*trace);
    for (const auto& [kind, outcome] : outcomes) {
        std::cout << kind << ": sent=" << outcome.sent << " whole=" << outcome.whole
                  << " refused_early=" << outcome.refused_early << " refused=" << outcome.refused << "\n";
    }
    bool as_stated = true;
    for (const auto& wanted : *stated) {
        const auto whole = outcomes[wanted.kind].whole;
        const bool good = whole >= wanted.least_whole && whole <= wanted.most_whole;
        as_stated = as_stated && good;
        std::cout << (good ? "as stated: " : "NOT as stated: ") << wanted.kind << " whole=" << whole
                  << ", stated " << wanted.least_whole << " to " << wanted.most_whole << "\n";
    }
    return as_stated ? kDone : kFailed;
}

int print_table(const CommonOptions& options) {
    const auto deployment = load_deployment(options.deployment_file);
    if (!deployment) {
        return kUsage;
    }
    std::cout << deployment->table_csv;
    return kDone;
}

}  // namespace

int run(int argc, char** argv) {
    CLI::App app{"Stand-ins, load and faults for anisehold"};
    app.require_subcommand(1);
    CommonOptions options;

    auto* store = app.add_subcommand("store", "The key-value store");
    store->add_option("--listen", options.listen, "IP:PORT")->required();

    auto* machines = app.add_subcommand("machines", "The machine list");
    std::string list_file;
    machines->add_option("--listen", options.listen, "IP:PORT")->required();
    machines->add_option("--list", list_file, "JSON file of the list to start with");

    auto* backend = app.add_subcommand("backend", "One back-end server");
    BackendOptions backend_options;
    long long cold_ms = 0;
    backend->add_option("--listen", options.listen, "IP:PORT")->required();
    backend->add_option("--service", backend_options.service, "Service of the deployment")->required();
    backend->add_option("--cold-ms", cold_ms,
                        "Time after the start for which work takes three times as long");
    backend->add_option("--layer-retries", backend_options.layer_retries, "Own retries of nested calls");
    backend->add_option("--queue", backend_options.queue, "Calls that may wait for a slot");
    add_target_options(*backend, options);

    auto* load = app.add_subcommand("load", "Clients");
    LoadOptions load_options;
    long long duration_ms = 10'000;
    long long timeout_ms = 5'000;
    std::vector<std::string> profile;
    bool no_client_delay = false;
    load->add_option("--rate", load_options.rate_per_second, "Requests a second");
    load->add_option("--duration-ms", duration_ms, "Length of the run");
    load->add_option("--profile", profile, "MILLISECONDS:FACTOR steps of the rate");
    load->add_option("--kind", load_options.only_kind, "Only this kind");
    load->add_option("--retries", load_options.client_retries, "Retries of each client");
    load->add_flag("--hard", load_options.hard, "Clients retry at once");
    load->add_option("--timeout-ms", timeout_ms, "Patience of a client, retries included");
    load->add_option("--id-prefix", load_options.id_prefix, "Start of all request ids");
    load->add_option("--series", load_options.series_file, "CSV file of outcomes over time");
    load->add_option("--record", load_options.record_file, "CSV trace of all arrivals, for replay");
    load->add_option("--zone", load_options.zone, "Zone named in the trace");
    load->add_flag("--no-client-delay", no_client_delay, "Don't simulate the way between clients and system");
    add_target_options(*load, options);

    auto* proxy = app.add_subcommand("proxy", "A TCP proxy with faults");
    std::string target;
    std::string control;
    proxy->add_option("--listen", options.listen, "IP:PORT")->required();
    proxy->add_option("--target", target, "IP:PORT")->required();
    proxy->add_option("--control", control, "IP:PORT of the control endpoint")->required();

    auto* table = app.add_subcommand("table", "Print a deployment's table as CSV");
    table->add_option("--deployment", options.deployment_file, "Deployment file")->required();

    auto* replay = app.add_subcommand("replay", "Replay a trace in virtual time against stated outcomes");
    std::string trace_file;
    std::string stated_file;
    std::vector<std::string> without;
    replay->add_option("--deployment", options.deployment_file, "Deployment file")->required();
    replay->add_option("--trace", trace_file, "Trace, CSV")->required();
    replay->add_option("--stated", stated_file, "Stated outcomes, CSV")->required();
    replay->add_option("--without", without, "Mechanism to switch off");

    CLI11_PARSE(app, argc, argv);
    if (replay->parsed()) {
        return run_replay(options, trace_file, stated_file, without);
    }
    if (table->parsed()) {
        return print_table(options);
    }
    net::EventLoop loop;
    int status = kDone;
    if (store->parsed()) {
        status = run_store(loop, options);
    } else if (machines->parsed()) {
        status = run_machines(loop, options, list_file);
    } else if (backend->parsed()) {
        backend_options.cold_ms = milliseconds(cold_ms);
        status = run_backend(loop, options, backend_options);
    } else if (load->parsed()) {
        load_options.duration_ms = milliseconds(duration_ms);
        load_options.client_timeout_ms = milliseconds(timeout_ms);
        load_options.client_delay = !no_client_delay;
        status = run_load(loop, options, load_options, profile);
    } else {
        status = run_proxy(loop, options, target, control);
    }
    std::cout.flush();
    net::exit_process(status);
}

}  // namespace anisehold::lab

int main(int argc, char** argv) {
    return anisehold::lab::run(argc, argv);
}
