/// @file
/// The settings of a table daemon: read from a TOML file, overridden by flags, and validated as a whole. Owns
/// their names, defaults and bounds (the table in setting_catalogue.cpp, which docs/SETTINGS.md lists); reads
/// no file itself.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/endpoint.hpp"

namespace anisehold::config {

/// All settings of a daemon, each named after its section and key; `setting_specs` describes their purpose.
/// The defaults are the documented ones. Integers are in the unit of their name.
struct Settings {
    std::string daemon_id;
    std::string daemon_zone;
    Endpoint daemon_listen;
    Endpoint daemon_peer;
    Endpoint daemon_admin;
    std::string daemon_mesh_key;
    std::string daemon_operator_token;
    long long daemon_stop_grace_ms = 30'000;

    std::vector<Endpoint> platform_stores;
    Endpoint platform_machine_list;
    std::string platform_machine_list_path = "/targets";
    long long platform_poll_ms = 2'000;

    std::vector<Endpoint> membership_seeds;
    long long membership_period_ms = 500;
    long long membership_suspicion_periods = 6;

    long long limits_header_bytes = 16 * 1024;
    long long limits_body_bytes = 64LL * 1024 * 1024;
    long long limits_header_timeout_ms = 15'000;
    long long limits_body_timeout_ms = 10'000;
    long long limits_connections = 4'096;

    long long backends_connections_per_server = 110;
    long long backends_connect_timeout_ms = 1'000;
    long long backends_health_period_ms = 500;
    long long backends_initial_limit = 8;

    long long claims_window_ms = 600'000;

    std::string log_level = "info";
    std::string log_layout = "json";

    bool lab_enabled = false;
    std::vector<std::string> lab_without;
};

/// The member that stores a setting's value; also determines the setting's type.
using SettingField =
    std::variant<std::string Settings::*, long long Settings::*, bool Settings::*, Endpoint Settings::*,
                 std::vector<Endpoint> Settings::*, std::vector<std::string> Settings::*>;

/// One setting: its name in the file ("section.key"), bounds and meaning. The flag is "--section-key".
struct SettingSpec {
    std::string_view name;
    SettingField field;
    long long minimum;  ///< Minimum value of an integer, or minimum length of a text.
    long long maximum;
    bool required;
    std::string_view allowed;  ///< For a text: the allowed words, separated by '|'; empty for any text.
    std::string_view description;
};

/// All settings, in the order of the documentation.
std::span<const SettingSpec> setting_specs();

/// One error, with its place.
struct SettingError {
    std::string place;  ///< "FILE:LINE NAME" or "--flag".
    std::string message;

    std::string text() const { return place + ": " + message; }
};

/// A setting given on the command line.
struct SettingOverride {
    std::string name;   ///< "section.key"
    std::string value;  ///< Elements of a list are separated by ','.
};

/// Result of loading settings; valid only if `errors` is empty.
struct SettingsResult {
    Settings settings;
    std::vector<SettingError> errors;
};

/// Reads `file_text` (may be empty), applies `overrides` and validates all settings. All errors are reported,
/// not only the first. `file_name` is only used in the places of errors.
SettingsResult load_settings(const std::string& file_name, std::string_view file_text,
                             const std::vector<SettingOverride>& overrides);

/// "--section-key" for "section.key".
std::string flag_name(std::string_view setting_name);

/// The type of a setting in words, for the documentation.
std::string_view type_name(const SettingField& field);

/// The documented default of a setting as text; empty if it has none.
std::string default_text(const SettingSpec& spec);

}  // namespace anisehold::config
