/// @file
/// `anisehold`: the daemon and the operators' commands.

#include <CLI/CLI.hpp>
#include <iostream>

#include "cli/settings_options.hpp"
#include "cli/sidecar_command.hpp"
#include "cli/status_commands.hpp"
#include "cli/table_commands.hpp"
#include "config/table.hpp"
#include "daemon/daemon.hpp"
#include "net/event_loop.hpp"
#include "observability/events.hpp"

namespace anisehold::cli {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

int serve(net::EventLoop& loop, const SettingsOptions& options) {
    config::Settings settings;
    if (!options.load(settings)) {
        return kUsage;
    }
    observability::start_logging(settings.log_level, settings.log_layout, settings.daemon_id);
    daemon::Daemon daemon(loop, settings);
    if (!daemon.start()) {
        observability::stop_logging();
        return kFailed;
    }
    loop.wait_for_stop_signal();
    daemon.stop();
    observability::stop_logging();
    // Detached fibers still refer to the daemon: the process ends without unwinding them.
    net::exit_process(kDone);
}

int check(const SettingsOptions& options, const std::string& table_file) {
    config::Settings settings;
    bool good = options.load(settings);
    if (!table_file.empty()) {
        std::string text;
        if (!read_file(table_file, text)) {
            std::cerr << table_file << ": can't be read\n";
            return kUsage;
        }
        for (const auto& error : config::parse_table_csv(text).errors) {
            std::cerr << table_file << ": " << error.text() << "\n";
            good = false;
        }
    }
    std::cout << (good ? "all good\n" : "not usable\n");
    return good ? kDone : kUsage;
}

}  // namespace

int run(int argc, char** argv) {
    CLI::App app{"Overload control for service call graphs"};
    app.require_subcommand(1);

    SettingsOptions serve_options;
    auto* serve_command = app.add_subcommand("serve", "Run the daemon");
    serve_options.add_to(*serve_command);

    SettingsOptions check_options;
    std::string table_file;
    auto* check_command = app.add_subcommand("check", "Check settings, and a table, without starting");
    check_options.add_to(*check_command);
    check_command->add_option("--table", table_file, "CSV file of a table to check too");

    TableCommands table_commands;
    table_commands.add_to(app);
    StatusCommand status_command;
    status_command.add_to(app);
    ExplainCommand explain_command;
    explain_command.add_to(app);

    SidecarCommand sidecar_command;
    sidecar_command.add_to(app);

    CLI11_PARSE(app, argc, argv);
    if (sidecar_command.chosen()) {
        return sidecar_command.run();
    }
    if (check_command->parsed()) {
        return check(check_options, table_file);
    }
    net::EventLoop loop;
    int status = kDone;
    if (serve_command->parsed()) {
        status = serve(loop, serve_options);
    } else if (table_commands.chosen()) {
        status = table_commands.run(loop);
    } else if (status_command.chosen()) {
        status = status_command.run(loop);
    } else {
        status = explain_command.run(loop);
    }
    std::cout.flush();
    net::exit_process(status);
}

}  // namespace anisehold::cli

int main(int argc, char** argv) {
    return anisehold::cli::run(argc, argv);
}
