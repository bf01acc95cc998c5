#include "cli/settings_options.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace anisehold::cli {

bool read_file(const std::string& name, std::string& content) {
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return false;
    }
    std::ostringstream text;
    text << file.rdbuf();
    content = std::move(text).str();
    return !file.bad();
}

void SettingsOptions::add_to(CLI::App& command) {
    command.add_option("--config,-c", file_name_, "Settings file (TOML)");
    const auto specs = config::setting_specs();
    // The options keep pointers to the elements of the vector, so the vector must not grow afterwards.
    values_.resize(specs.size());
    for (std::size_t index = 0; index < specs.size(); ++index) {
        values_[index].name = specs[index].name;
        command
            .add_option(config::flag_name(specs[index].name), values_[index].value,
                        std::string(specs[index].description))
            ->group("Settings");
    }
}

bool SettingsOptions::load(config::Settings& settings) const {
    std::string text;
    if (!file_name_.empty() && !read_file(file_name_, text)) {
        std::cerr << file_name_ << ": can't be read\n";
        return false;
    }
    std::vector<config::SettingOverride> given;
    for (const auto& value : values_) {
        if (!value.value.empty()) {
            given.push_back(value);
        }
    }
    auto result = config::load_settings(file_name_.empty() ? "settings" : file_name_, text, given);
    for (const auto& error : result.errors) {
        std::cerr << error.text() << "\n";
    }
    settings = std::move(result.settings);
    return result.errors.empty();
}

}  // namespace anisehold::cli
