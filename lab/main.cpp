/// @file
/// `anisehold-lab`: simulated servers, load and faults for tests and demos. Not used in production.

#include <CLI/CLI.hpp>
#include <boost/fiber/operations.hpp>
#include <iostream>
#include <vector>

#include "lab/backend.hpp"
#include "lab/deployment.hpp"
#include "lab/load.hpp"
#include "lab/machines.hpp"
#include "lab/proxy.hpp"
#include "lab/replay.hpp"
#include "lab/store.hpp"
#include "net/event_loop.hpp"
#include "net/stop_signals.hpp"

namespace anisehold::lab {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr milliseconds kDrainPoll{20};
/// Minimum time for which a draining back end stays up, so that callers notice the drain.
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

/// Command-line options; each command reads the ones it needs.
struct Options {
    std::string listen;
    std::string deployment_file;
    std::vector<std::string> daemons;
    std::vector<std::string> services;
    BackendOptions backend;
    LoadOptions load;
    long long duration_ms = 10'000;
    long long timeout_ms = 5'000;
    bool no_client_delay = false;
    std::string proxy_target;
    std::string proxy_control;
    std::string trace_file;
    std::string stated_file;
    std::vector<std::string> without;
};

bool read_targets(const Options& options, CallTargets& targets) {
    return read_endpoints("--daemon", options.daemons, targets.daemons) &&
           parse_service_targets(options.services, targets);
}

/// Runs a simulated server until a stop signal arrives.
template <typename StandIn>
int serve(net::EventLoop& loop, const Options& options) {
    Endpoint listen;
    if (!read_endpoint("--listen", options.listen, listen)) {
        return kUsage;
    }
    StandIn stand_in(loop.io());
    if (!started(stand_in.start(listen), options.listen)) {
        return kFailed;
    }
    net::StopSignals(loop).wait();
    net::exit_process(kDone);
}

int run_backend(net::EventLoop& loop, const Options& options) {
    Endpoint listen;
    CallTargets targets;
    auto deployment = load_deployment(options.deployment_file);
    if (!deployment || !read_endpoint("--listen", options.listen, listen) ||
        !read_targets(options, targets)) {
        return kUsage;
    }
    Backend backend(loop.io(), std::move(*deployment), options.backend, std::move(targets));
    if (!started(backend.start(listen), options.listen)) {
        return kFailed;
    }
    net::StopSignals(loop).wait();
    backend.drain();
    boost::this_fiber::sleep_for(kDrainLinger);
    while (backend.in_flight() > 0) {
        boost::this_fiber::sleep_for(kDrainPoll);
    }
    net::exit_process(kDone);
}

int run_load(net::EventLoop& loop, const Options& options) {
    CallTargets targets;
    auto deployment = load_deployment(options.deployment_file);
    if (!deployment || !read_targets(options, targets)) {
        return kUsage;
    }
    auto load_options = options.load;
    load_options.duration_ms = milliseconds(options.duration_ms);
    load_options.client_timeout_ms = milliseconds(options.timeout_ms);
    load_options.client_delay = !options.no_client_delay;
    if (!load_options.only_kind.empty() && deployment->kind(load_options.only_kind) == nullptr) {
        std::cerr << "--kind: no such kind\n";
        return kUsage;
    }
    Load load(loop.io(), std::move(*deployment), std::move(load_options), std::move(targets));
    return load.run() ? kDone : kFailed;
}

int run_proxy(net::EventLoop& loop, const Options& options) {
    Endpoint listen;
    Endpoint target;
    Endpoint control;
    if (!read_endpoint("--listen", options.listen, listen) ||
        !read_endpoint("--target", options.proxy_target, target) ||
        !read_endpoint("--control", options.proxy_control, control)) {
        return kUsage;
    }
    Proxy proxy(loop.io(), target);
    if (!started(proxy.start(listen, control), options.listen)) {
        return kFailed;
    }
    net::StopSignals(loop).wait();
    net::exit_process(kDone);
}

/// Replays a trace, compares it with the stated outcomes, and prints the outcome of each kind.
int run_replay(net::EventLoop& /*loop*/, const Options& options) {
    auto deployment = load_deployment(options.deployment_file);
    const auto trace = load_trace(options.trace_file);
    const auto stated = load_stated_outcomes(options.stated_file);
    if (!deployment || !trace || !stated) {
        return kUsage;
    }
    Replay replay(std::move(*deployment), config::MechanismSet(options.without));
    auto outcomes = replay.run(*trace);
    for (const auto& [kind, outcome] : outcomes) {
        std::cout << kind << ": sent=" << outcome.sent << " whole=" << outcome.whole
                  << " refused_early=" << outcome.refused_early << " refused=" << outcome.refused << "\n";
    }
    bool as_stated = true;
    for (const auto& wanted : *stated) {
        const auto whole = outcomes[wanted.kind].whole;
        const bool good = whole >= wanted.min_whole && whole <= wanted.max_whole;
        as_stated = as_stated && good;
        std::cout << (good ? "as stated: " : "NOT as stated: ") << wanted.kind << " whole=" << whole
                  << ", stated " << wanted.min_whole << " to " << wanted.max_whole << "\n";
    }
    return as_stated ? kDone : kFailed;
}

void add_target_options(CLI::App& command, Options& options) {
    command.add_option("--deployment", options.deployment_file, "Deployment file")->required();
    command.add_option("--daemon", options.daemons, "Daemon to call through, IP:PORT, nearest first");
    command.add_option("--direct", options.services, "SERVICE=IP:PORT,... to call straight");
}

CLI::App* add_server(CLI::App& app, Options& options, const std::string& name, const std::string& text) {
    auto* command = app.add_subcommand(name, text);
    command->add_option("--listen", options.listen, "IP:PORT")->required();
    return command;
}

CLI::App* add_backend(CLI::App& app, Options& options) {
    auto* command = add_server(app, options, "backend", "One back-end server");
    command->add_option("--service", options.backend.service, "Service of the deployment")->required();
    command->add_option("--layer-retries", options.backend.layer_retries, "Own retries of nested calls");
    add_target_options(*command, options);
    return command;
}

CLI::App* add_load(CLI::App& app, Options& options) {
    auto* command = app.add_subcommand("load", "Clients");
    auto& load = options.load;
    command->add_option("--rate", load.rate_per_second, "Requests a second");
    command->add_option("--duration-ms", options.duration_ms, "Length of the run");
    command->add_option("--kind", load.only_kind, "Only this kind");
    command->add_option("--retries", load.client_retries, "Retries of each client");
    command->add_flag("--hard", load.hard, "Clients retry at once");
    command->add_option("--timeout-ms", options.timeout_ms, "Patience of a client, retries included");
    command->add_option("--id-prefix", load.id_prefix, "Start of all request ids");
    command->add_flag("--no-client-delay", options.no_client_delay,
                      "Don't simulate the way between clients and system");
    add_target_options(*command, options);
    return command;
}

CLI::App* add_proxy(CLI::App& app, Options& options) {
    auto* command = add_server(app, options, "proxy", "A TCP proxy with faults");
    command->add_option("--target", options.proxy_target, "IP:PORT")->required();
    command->add_option("--control", options.proxy_control, "IP:PORT of the control endpoint")->required();
    return command;
}

CLI::App* add_replay(CLI::App& app, Options& options) {
    auto* command = app.add_subcommand("replay", "Replay a trace in virtual time against stated outcomes");
    command->add_option("--deployment", options.deployment_file, "Deployment file")->required();
    command->add_option("--trace", options.trace_file, "Trace, CSV")->required();
    command->add_option("--stated", options.stated_file, "Stated outcomes, CSV")->required();
    command->add_option("--without", options.without, "Mechanism to switch off");
    return command;
}

struct Command {
    const CLI::App* parser;
    int (*run)(net::EventLoop&, const Options&);
};

}  // namespace

int run(int argc, char** argv) {
    CLI::App app{"Stand-ins, load and faults for anisehold"};
    app.require_subcommand(1);
    Options options;
    const std::vector<Command> commands{
        {add_server(app, options, "store", "The key-value store"), serve<Store>},
        {add_server(app, options, "machines", "The machine list"), serve<Machines>},
        {add_backend(app, options), run_backend},
        {add_load(app, options), run_load},
        {add_proxy(app, options), run_proxy},
        {add_replay(app, options), run_replay},
    };
    CLI11_PARSE(app, argc, argv);
    net::EventLoop loop;
    for (const auto& command : commands) {
        if (command.parser->parsed()) {
            const int status = command.run(loop, options);
            std::cout.flush();
            net::exit_process(status);
        }
    }
    return kUsage;
}

}  // namespace anisehold::lab

int main(int argc, char** argv) {
    return anisehold::lab::run(argc, argv);
}
