#include "cli/status_commands.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <vector>

#include "cli/admin_client.hpp"
#include "cli/exit_status.hpp"
#include "explain/failure_summary.hpp"
#include "explain/request_trace.hpp"

namespace anisehold::cli {
namespace {

using nlohmann::json;

std::optional<json> fetch_fleet(net::EventLoop& loop, const std::string& daemon, int& status) {
    const auto endpoint = parse_endpoint(daemon);
    if (!endpoint) {
        std::cerr << "--daemon: \"" << daemon << "\" is not IP:PORT with a numeric address\n";
        status = kExitUsage;
        return std::nullopt;
    }
    auto fleet = fetch_json(loop.io(), *endpoint, "/status");
    status = fleet ? kExitSuccess : kExitFailure;
    return fleet;
}

/// Calls `read` with each file, or with standard input for "-"; false if a file can't be read.
template <typename Read>
bool read_files(const std::vector<std::string>& file_names, Read read) {
    for (const auto& file_name : file_names) {
        std::ifstream file;
        if (file_name != "-") {
            file.open(file_name);
            if (!file) {
                std::cerr << file_name << ": can't be read\n";
                return false;
            }
        }
        read(file_name == "-" ? std::cin : file);
    }
    return true;
}

bool is_present(const json& member) {
    const auto state = member.at("state").get<std::string>();
    return state != "dead" && state != "left";
}

void print_gates(const json& status) {
    for (const auto& gate : status.at("gates")) {
        std::cout << "    " << gate.at("service").get<std::string>() << " "
                  << gate.at("server").get<std::string>() << "  in flight " << gate.at("in_flight") << " of "
                  << gate.at("limit") << ", queued " << gate.at("queued") << ", admits priority up to "
                  << gate.at("admitted_priority") << ", connections " << gate.at("connections") << "\n";
    }
}

void print_member(net::EventLoop& loop, const json& member) {
    std::cout << member.at("id").get<std::string>() << "  zone " << member.at("zone").get<std::string>()
              << "  " << member.at("state").get<std::string>() << "\n";
    const auto admin = parse_endpoint(member.at("admin").get<std::string>());
    if (!is_present(member) || !admin) {
        return;
    }
    const auto status = fetch_json(loop.io(), *admin, "/status");
    if (!status) {
        return;
    }
    std::cout << "    table revision " << status->at("table_revision") << " (change "
              << status->at("change_id").get<std::string>() << "), holder epoch "
              << status->at("holder_epoch")
              << (status->at("claims_serving").get<bool>() ? ", grants claims" : ", grants no claims") << ", "
              << status->at("calls_in_flight") << " calls in flight\n";
    print_gates(*status);
}

/// Prints at least one step in chronological order; times are relative to the first step.
void print_steps(const std::vector<json>& steps) {
    const auto first_us = steps.front().at("at_us").get<long long>();
    for (const auto& step : steps) {
        std::cout << "+" << step.at("at_us").get<long long>() - first_us << " us  "
                  << step.at("member").get<std::string>() << "  call " << step.at("call").get<std::string>()
                  << "  " << step.at("step").get<std::string>() << "  "
                  << step.at("detail").get<std::string>() << "\n";
    }
}

}  // namespace

void StatusCommand::add_to(CLI::App& app) {
    command_ = app.add_subcommand("status", "Print the state of the fleet");
    command_->add_option("--daemon", daemon_, "Admin address of a daemon, IP:PORT")->required();
}

int StatusCommand::run(net::EventLoop& loop) {
    int status = kExitSuccess;
    const auto fleet = fetch_fleet(loop, daemon_, status);
    if (!fleet) {
        return status;
    }
    for (const auto& member : fleet->at("members")) {
        print_member(loop, member);
    }
    for (const auto& server : fleet->at("servers")) {
        std::cout << "server " << server.at("server").get<std::string>() << "  "
                  << server.at("service").get<std::string>() << "  zone "
                  << server.at("zone").get<std::string>()
                  << (server.at("leaving").get<bool>() ? "  leaving" : "")
                  << (server.at("ejected").get<bool>() ? "  ejected" : "") << "\n";
    }
    return kExitSuccess;
}

void ExplainCommand::add_to(CLI::App& app) {
    command_ = app.add_subcommand("explain", "Print what was decided about a request");
    auto* daemon = command_->add_option("--daemon", daemon_, "Admin address of a daemon, IP:PORT");
    command_->add_option("--log", log_files_, "Log files of any number of processes; - for standard input")
        ->excludes(daemon);
    command_->add_flag("--summary", summarize_,
                       "Count all refused and failed requests of the log files by cause");
    command_
        ->add_option("request", arguments_,
                     "Request id, as in the Anisehold-Request-Id header; with --summary log files, - for "
                     "standard input")
        ->required();
}

int ExplainCommand::summarize_logs() const {
    explain::FailureSummary summary;
    if (!read_files(arguments_, [&](std::istream& input) { explain::addLog(summary, input); })) {
        return kExitUsage;
    }
    std::cout << explain::describe(summary);
    return kExitSuccess;
}

int ExplainCommand::explain_logs(const std::string& request_id) const {
    std::vector<explain::LogLine> lines;
    const auto read = [&](std::istream& input) { explain::readRelevantLines(input, request_id, lines); };
    if (!read_files(log_files_, read)) {
        return kExitUsage;
    }
    const auto trace_text = explain::describe(explain::traceRequest(lines, request_id));
    if (trace_text.empty()) {
        std::cout << "no line of the logs names this request\n";
        return kExitFailure;
    }
    std::cout << trace_text;
    return kExitSuccess;
}

int ExplainCommand::run(net::EventLoop& loop) {
    if (summarize_) {
        return summarize_logs();
    }
    if (arguments_.size() != 1) {
        std::cerr << "explain: one request id is needed\n";
        return kExitUsage;
    }
    const auto& request_id = arguments_.front();
    if (!log_files_.empty()) {
        return explain_logs(request_id);
    }
    if (daemon_.empty()) {
        std::cerr << "explain: --daemon or --log is needed\n";
        return kExitUsage;
    }
    return explain_fleet(loop, request_id);
}

int ExplainCommand::explain_fleet(net::EventLoop& loop, const std::string& request_id) const {
    int status = kExitSuccess;
    const auto fleet = fetch_fleet(loop, daemon_, status);
    if (!fleet) {
        return status;
    }
    std::vector<json> steps;
    for (const auto& member : fleet->at("members")) {
        const auto admin = parse_endpoint(member.at("admin").get<std::string>());
        if (!is_present(member) || !admin) {
            continue;
        }
        const auto explained = fetch_json(loop.io(), *admin, "/explain?id=" + request_id);
        if (explained) {
            steps.insert(steps.end(), explained->at("steps").begin(), explained->at("steps").end());
        }
    }
    std::sort(steps.begin(), steps.end(),
              [](const json& left, const json& right) { return left.at("at_us") < right.at("at_us"); });
    if (steps.empty()) {
        std::cout << "no daemon remembers this request\n";
        return kExitFailure;
    }
    print_steps(steps);
    return kExitSuccess;
}
}  // namespace anisehold::cli
