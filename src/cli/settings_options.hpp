/// @file
/// Flags for all settings of the table daemon, and reading of the settings file. Relies on `config` for
/// names, bounds and validation.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace anisehold::cli {

/// The settings given on the command line. Flags override the settings file.
class SettingsOptions {
  public:
    /// Adds --config and one flag per setting to a command.
    void add_to(CLI::App& command);
    /// Reads and validates all settings, and prints each error to standard error. False if there was an
    /// error.
    bool load(config::Settings& settings) const;

  private:
    std::string file_name_;
    std::vector<config::SettingOverride> values_;  // One per setting; empty if the flag isn't given.
};

/// Reads the whole content of a file; false if the file can't be read.
bool read_file(const std::string& name, std::string& content);

}  // namespace anisehold::cli
