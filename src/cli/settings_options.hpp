/// @file
/// Flags for every setting of the table daemon, and reading of its settings file. Relies on `config` for
/// names, bounds and checks.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace anisehold::cli {

/// What the command line said about settings. Flags win over the file.
class SettingsOptions {
  public:
    /// Adds --config and one flag per setting to a command.
    void add_to(CLI::App& command);
    /// Reads and checks everything; prints each error to standard error. False if there was one.
    bool load(config::Settings& settings) const;

  private:
    std::string file_name_;
    std::vector<config::SettingOverride> values_;  // One for each setting; empty text means not given.
};

/// The whole content of a file; false if it can't be read.
bool read_file(const std::string& name, std::string& content);

}  // namespace anisehold::cli
