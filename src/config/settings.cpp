#include "config/settings.hpp"

#include <toml++/toml.h>

#include <map>
#include <optional>

#include "config/mechanisms.hpp"
#include "protocol/number_text.hpp"

namespace anisehold::config {
namespace {

/// The error message if a value is invalid; nothing after a successful assignment.
using AssignmentError = std::optional<std::string>;

std::string range_text(const SettingSpec& spec) {
    return "allowed are " + std::to_string(spec.minimum) + " to " + std::to_string(spec.maximum);
}

bool is_allowed_word(std::string_view allowed, std::string_view word) {
    if (allowed.empty()) {
        return true;
    }
    while (!allowed.empty()) {
        const auto end = allowed.find('|');
        if (allowed.substr(0, end) == word) {
            return true;
        }
        allowed.remove_prefix(end == std::string_view::npos ? allowed.size() : end + 1);
    }
    return false;
}

AssignmentError assign_text(const SettingSpec& spec, std::string& target, const std::string& value) {
    const auto length = static_cast<long long>(value.size());
    if (length < spec.minimum || length > spec.maximum) {
        return "has " + std::to_string(length) + " characters, " + range_text(spec);
    }
    if (!is_allowed_word(spec.allowed, value)) {
        return "is \"" + value + "\", allowed are " + std::string(spec.allowed);
    }
    target = value;
    return std::nullopt;
}

AssignmentError assign_integer(const SettingSpec& spec, long long& target, long long value) {
    if (value < spec.minimum || value > spec.maximum) {
        return "is " + std::to_string(value) + ", " + range_text(spec);
    }
    target = value;
    return std::nullopt;
}

AssignmentError assign_endpoint(Endpoint& target, const std::string& value) {
    const auto endpoint = parse_endpoint(value);
    if (!endpoint) {
        return "\"" + value + "\" is not IP:PORT with a numeric address";
    }
    target = *endpoint;
    return std::nullopt;
}

AssignmentError assign_endpoints(std::vector<Endpoint>& target, const std::vector<std::string>& values) {
    target.clear();
    for (const auto& value : values) {
        if (auto message = assign_endpoint(target.emplace_back(), value)) {
            return message;
        }
    }
    return std::nullopt;
}

/// Assigns a TOML value. The type of the node must match the type of the setting.
struct NodeAssigner {
    const SettingSpec& spec;
    Settings& settings;
    const toml::node& node;

    AssignmentError operator()(std::string Settings::*field) const {
        const auto value = node.value_exact<std::string>();
        return value ? assign_text(spec, settings.*field, *value) : AssignmentError("must be text in quotes");
    }
    AssignmentError operator()(long long Settings::*field) const {
        const auto value = node.value_exact<int64_t>();
        return value ? assign_integer(spec, settings.*field, *value)
                     : AssignmentError("must be a whole number");
    }
    AssignmentError operator()(bool Settings::*field) const {
        const auto value = node.value_exact<bool>();
        if (!value) {
            return "must be true or false";
        }
        settings.*field = *value;
        return std::nullopt;
    }
    AssignmentError operator()(Endpoint Settings::*field) const {
        const auto value = node.value_exact<std::string>();
        return value ? assign_endpoint(settings.*field, *value) : AssignmentError("must be \"IP:PORT\"");
    }
    AssignmentError operator()(std::vector<Endpoint> Settings::*field) const {
        const auto values = texts();
        return values ? assign_endpoints(settings.*field, *values)
                      : AssignmentError("must be a list of \"IP:PORT\"");
    }
    AssignmentError operator()(std::vector<std::string> Settings::*field) const {
        const auto values = texts();
        if (!values) {
            return "must be a list of texts";
        }
        settings.*field = *values;
        return std::nullopt;
    }

    std::optional<std::vector<std::string>> texts() const {
        const auto* array = node.as_array();
        if (array == nullptr) {
            return std::nullopt;
        }
        std::vector<std::string> values;
        for (const auto& element : *array) {
            const auto text = element.value_exact<std::string>();
            if (!text) {
                return std::nullopt;
            }
            values.push_back(*text);
        }
        return values;
    }
};

/// Assigns the text of a command-line flag.
struct FlagAssigner {
    const SettingSpec& spec;
    Settings& settings;
    const std::string& value;

    AssignmentError operator()(std::string Settings::*field) const {
        return assign_text(spec, settings.*field, value);
    }
    AssignmentError operator()(long long Settings::*field) const {
        const auto number = parse_number<long long>(value);
        return number ? assign_integer(spec, settings.*field, *number)
                      : AssignmentError("\"" + value + "\" is not a whole number");
    }
    AssignmentError operator()(bool Settings::*field) const {
        if (value != "true" && value != "false") {
            return "must be true or false";
        }
        settings.*field = value == "true";
        return std::nullopt;
    }
    AssignmentError operator()(Endpoint Settings::*field) const {
        return assign_endpoint(settings.*field, value);
    }
    AssignmentError operator()(std::vector<Endpoint> Settings::*field) const {
        return assign_endpoints(settings.*field, items());
    }
    AssignmentError operator()(std::vector<std::string> Settings::*field) const {
        settings.*field = items();
        return std::nullopt;
    }

    std::vector<std::string> items() const {
        std::vector<std::string> parts;
        std::string_view left = value;
        while (!left.empty()) {
            const auto end = left.find(',');
            parts.emplace_back(left.substr(0, end));
            left.remove_prefix(end == std::string_view::npos ? left.size() : end + 1);
        }
        return parts;
    }
};

const SettingSpec* find_spec(std::string_view name) {
    for (const auto& spec : setting_specs()) {
        if (spec.name == name) {
            return &spec;
        }
    }
    return nullptr;
}

class Loader {
  public:
    explicit Loader(std::string file_name) : file_name_(std::move(file_name)) {}

    void read_file(std::string_view text) {
        const toml::parse_result parsed = parse(text);
        for (const auto& [section, node] : parsed) {
            read_section(std::string(section.str()), node);
        }
    }

    void apply(const SettingOverride& given) {
        const auto* spec = find_spec(given.name);
        const std::string place = flag_name(given.name);
        if (spec == nullptr) {
            add_error(place, "is not a setting");
            return;
        }
        if (auto message = std::visit(FlagAssigner{*spec, result_.settings, given.value}, spec->field)) {
            add_error(place, *message);
        }
        given_places_[given.name] = place;
    }

    void check_whole() {
        if (!readable_) {
            return;
        }
        for (const auto& spec : setting_specs()) {
            if (spec.required && !given_places_.contains(std::string(spec.name))) {
                add_error(file_name_ + " " + std::string(spec.name), "is missing");
            }
        }
        const auto& settings = result_.settings;
        if (!settings.lab_without.empty() && !settings.lab_enabled) {
            add_error(place_of("lab.without"), "is only allowed with lab.enabled = true");
        }
        for (const auto& name : settings.lab_without) {
            if (!mechanism_from_name(name)) {
                add_error(place_of("lab.without"), "\"" + name + "\" is not one of " + mechanism_names());
            }
        }
    }

    SettingsResult take() { return std::move(result_); }

  private:
    toml::table parse(std::string_view text) {
        try {
            return toml::parse(text, file_name_);
        } catch (const toml::parse_error& error) {
            add_error(file_name_ + ":" + std::to_string(error.source().begin.line),
                      std::string(error.description()));
            readable_ = false;
            return {};
        }
    }

    void read_section(const std::string& section, const toml::node& node) {
        const auto* table = node.as_table();
        if (table == nullptr) {
            add_error(place_of_node(section, node), "must be a [section]");
            return;
        }
        for (const auto& [key, value] : *table) {
            read_value(section + "." + std::string(key.str()), value);
        }
    }

    void read_value(const std::string& name, const toml::node& node) {
        const std::string place = place_of_node(name, node);
        const auto* spec = find_spec(name);
        if (spec == nullptr) {
            add_error(place, "is not a setting");
            return;
        }
        if (auto message = std::visit(NodeAssigner{*spec, result_.settings, node}, spec->field)) {
            add_error(place, *message);
        }
        given_places_[name] = place;
    }

    std::string place_of_node(const std::string& name, const toml::node& node) const {
        return file_name_ + ":" + std::to_string(node.source().begin.line) + " " + name;
    }

    std::string place_of(const std::string& name) const {
        const auto found = given_places_.find(name);
        return found == given_places_.end() ? file_name_ + " " + name : found->second;
    }

    void add_error(std::string place, std::string message) {
        result_.errors.push_back({std::move(place), std::move(message)});
    }

    std::string file_name_;
    bool readable_ = true;  // False after a syntax error, which hides the contents of the file.
    SettingsResult result_;
    std::map<std::string, std::string> given_places_;  // Name and place of each given setting.
};

}  // namespace

SettingsResult load_settings(const std::string& file_name, std::string_view file_text,
                             const std::vector<SettingOverride>& overrides) {
    Loader loader(file_name);
    loader.read_file(file_text);
    for (const auto& given : overrides) {
        loader.apply(given);
    }
    loader.check_whole();
    return loader.take();
}

}  // namespace anisehold::config
