/// @file
/// `anisehold sidecar`: the daemon for one local server. The only code that connects the sidecar to the
/// adapter of its platform.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace anisehold::cli {

/// Runs the sidecar, or only validates its settings.
class SidecarCommand {
  public:
    void add_to(CLI::App& app);
    bool chosen() const { return command_->parsed(); }
    /// Returns the exit status. A running sidecar returns only after a planned stop.
    int run() const;

  private:
    CLI::App* command_ = nullptr;
    std::string settings_file_;
    bool check_only_ = false;
};

}  // namespace anisehold::cli
