/// @file
/// `anisehold sidecar`: the daemon beside one server. The only place that joins the sidecar to the adapter of
/// its platform.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace anisehold::cli {

/// Runs the sidecar, or only checks its settings.
class SidecarCommand {
  public:
    void add_to(CLI::App& app);
    bool chosen() const { return command_->parsed(); }
    /// The exit status. Running does not return before a planned stop.
    int run() const;

  private:
    CLI::App* command_ = nullptr;
    std::string settings_file_;
    bool check_only_ = false;
};

}  // namespace anisehold::cli
