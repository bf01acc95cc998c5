/// @file
/// `anisehold status` and `anisehold explain`: print information from daemons and logs, without changing
/// anything.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "net/event_loop.hpp"

namespace anisehold::cli {

/// Prints the fleet from one daemon's view, and each member's own state.
class StatusCommand {
  public:
    void add_to(CLI::App& app);
    bool chosen() const { return command_ != nullptr && command_->parsed(); }
    /// Returns the exit status.
    int run(net::EventLoop& loop);

  private:
    CLI::App* command_ = nullptr;
    std::string daemon_;
};

/// Prints the decisions of all members about one request in chronological order, from running daemons or from
/// log files; or counts the refused and failed requests in log files.
class ExplainCommand {
  public:
    void add_to(CLI::App& app);
    bool chosen() const { return command_ != nullptr && command_->parsed(); }
    /// Returns the exit status.
    int run(net::EventLoop& loop);

  private:
    int explain_fleet(net::EventLoop& loop, const std::string& request_id) const;
    int explain_logs(const std::string& request_id) const;
    int summarize_logs() const;

    CLI::App* command_ = nullptr;
    std::string daemon_;
    std::vector<std::string> log_files_;
    std::vector<std::string> arguments_;  ///< A request id, or log files.
    bool summarize_ = false;
};

}  // namespace anisehold::cli
