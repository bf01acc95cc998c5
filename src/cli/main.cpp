/// @file
/// `anisehold`: the daemons and the operators' commands. Owns the command line; the work of each command is
/// in its own module.

#include <CLI/CLI.hpp>
#include <iostream>

#include "cli/build_info.hpp"
#include "cli/exit_status.hpp"
#include "cli/log_flush.hpp"
#include "cli/settings_options.hpp"
#include "cli/sidecar_command.hpp"
#include "cli/status_commands.hpp"
#include "cli/table_commands.hpp"
#include "cli/wait_for_stop.hpp"
#include "config/table.hpp"
#include "daemon/daemon.hpp"
#include "net/event_loop.hpp"
#include "net/stop_signals.hpp"
#include "observability/events.hpp"

namespace anisehold::cli {
namespace {

int serve(net::EventLoop& loop, const SettingsOptions& options) {
    config::Settings settings;
    if (!options.load(settings)) {
        return kExitUsage;
    }
    observability::start_logging(settings.log_level, settings.log_layout, settings.daemon_id);
    group_log_writes();
    log_build_info();
    net::StopSignals signals(loop);
    daemon::Daemon daemon(loop, settings);
    if (!daemon.start()) {
        observability::stop_logging();
        return kExitFailure;
    }
    daemon.stop(wait_for_stop(signals));
    observability::stop_logging();
    // Detached fibers still refer to the daemon, so the process ends without unwinding them.
    net::exit_process(kExitSuccess);
}

int check(const SettingsOptions& options, const std::string& table_file) {
    config::Settings settings;
    bool good = options.load(settings);
    if (!table_file.empty()) {
        std::string text;
        if (!read_file(table_file, text)) {
            std::cerr << table_file << ": can't be read\n";
            return kExitUsage;
        }
        for (const auto& error : config::parse_table_csv(text).errors) {
            std::cerr << table_file << ": " << error.text() << "\n";
            good = false;
        }
    }
    std::cout << (good ? "all good\n" : "not usable\n");
    return good ? kExitSuccess : kExitUsage;
}

/// The subcommands and their arguments.
class Commands {
  public:
    void add_to(CLI::App& app) {
        app.require_subcommand(1);
        serve_ = app.add_subcommand("serve", "Run the daemon");
        serve_options_.add_to(*serve_);
        check_ = app.add_subcommand("check", "Check settings, and a table, without starting");
        check_options_.add_to(*check_);
        check_->add_option("--table", table_file_, "CSV file of a table to check too");
        table_.add_to(app);
        status_.add_to(app);
        explain_.add_to(app);
        sidecar_.add_to(app);
    }

    /// Runs the selected subcommand. Returns its exit status, or ends the process with that status.
    int run() {
        if (sidecar_.chosen()) {
            return sidecar_.run();
        }
        if (check_->parsed()) {
            return check(check_options_, table_file_);
        }
        net::EventLoop loop;
        const int status = run_on(loop);
        std::cout.flush();
        net::exit_process(status);
    }

  private:
    int run_on(net::EventLoop& loop) {
        if (serve_->parsed()) {
            return serve(loop, serve_options_);
        }
        if (table_.chosen()) {
            return table_.run(loop);
        }
        return status_.chosen() ? status_.run(loop) : explain_.run(loop);
    }

    CLI::App* serve_ = nullptr;
    CLI::App* check_ = nullptr;
    SettingsOptions serve_options_;
    SettingsOptions check_options_;
    std::string table_file_;
    TableCommands table_;
    StatusCommand status_;
    ExplainCommand explain_;
    SidecarCommand sidecar_;
};

}  // namespace

int run(int argc, char** argv) {
    CLI::App app{"Overload control for service call graphs"};
    Commands commands;
    commands.add_to(app);
    app.set_version_flag("--version", text_of(build_info()));
    CLI11_PARSE(app, argc, argv);
    return commands.run();
}

}  // namespace anisehold::cli

int main(int argc, char** argv) {
    return anisehold::cli::run(argc, argv);
}
