/// @file
/// `anisehold status` and `anisehold explain`: print what daemons and logs say; change nothing.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "net/event_loop.hpp"

namespace anisehold::cli {

/// Prints the fleet as one daemon sees it, and each member's own state.
class StatusCommand {
  public:
    void add_to(CLI::App& app);
    bool chosen() const { return command_ != nullptr && command_->parsed(); }
    /// The exit status.
    int run(net::EventLoop& loop);

  private:
    CLI::App* command_ = nullptr;
    std::string daemon_;
};

/// Prints what all members decided about one request, in order of time: as running daemons remember it, or
/// from log files; or counts what was refused and failed in log files.
class ExplainCommand {
  public:
    void add_to(CLI::App& app);
    bool chosen() const { return command_ != nullptr && command_->parsed(); }
    /// The exit status.
    int run(net::EventLoop& loop);

  private:
    int explain_fleet(net::EventLoop& loop, const std::string& request_id) const;
    int explain_logs(const std::string& request_id) const;
    int summarize_logs() const;

    CLI::App* command_ = nullptr;
    std::string daemon_;
    std::vector<std::string> log_files_;
    std::vector<std::string> arguments_;  ///< A request id, or log files.
    bool counts_failures_ = false;
};

}  // namespace anisehold::cli
