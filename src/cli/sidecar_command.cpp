#include "cli/sidecar_command.hpp"

#include <iostream>

#include "cli/build_info.hpp"
#include "cli/exit_status.hpp"
#include "cli/log_flush.hpp"
#include "cli/settings_options.hpp"
#include "cli/wait_for_stop.hpp"
#include "config/sidecar_settings.hpp"
#include "net/event_loop.hpp"
#include "net/stop_signals.hpp"
#include "observability/events.hpp"
#include "platform/dialect.hpp"
#include "platform/store_client.hpp"
#include "sidecar/sidecar.hpp"

namespace anisehold::cli {
namespace {

int serve(const config::SidecarSettings& settings, const std::string& settings_file) {
    net::EventLoop loop;
    net::StopSignals signals(loop);
    observability::start_logging(config::SidecarSettings::kLogLevel, "json", settings.name,
                                 observability::LogOutput::kStandardOutput);
    group_log_writes();
    log_build_info();
    const platform::Dialect dialect;
    platform::StoreClient store(loop.io(), settings.store);
    sidecar::Sidecar sidecar(loop, dialect, store, settings, settings_file);
    const bool started = sidecar.start();
    if (started) {
        sidecar.stop(wait_for_stop(signals));
    }
    // The log has no writer thread here, so the buffered lines are written explicitly. The process then ends
    // without unwinding the fibers, which still refer to the sidecar, and without shutting down the logging
    // library, which could wait for the library's own threads.
    observability::flush_log();
    net::exit_process(started ? kExitSuccess : kExitFailure);
}

}  // namespace

void SidecarCommand::add_to(CLI::App& app) {
    command_ = app.add_subcommand("sidecar", "Run the daemon beside one server");
    command_->add_option("--config", settings_file_, "Settings file (TOML)")->required();
    command_->add_flag("--check", check_only_, "Only check the settings");
}

int SidecarCommand::run() const {
    std::string text;
    if (!read_file(settings_file_, text)) {
        std::cerr << settings_file_ << ": can't be read\n";
        return kExitUsage;
    }
    const auto loaded = config::load_sidecar_settings(settings_file_, text);
    for (const auto& error : loaded.errors) {
        std::cerr << error.text() << "\n";
    }
    if (!loaded.errors.empty()) {
        return kExitUsage;
    }
    if (check_only_) {
        std::cout << "all good\n";
        return kExitSuccess;
    }
    return serve(loaded.settings, settings_file_);
}

}  // namespace anisehold::cli
