#include "config/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>

#include "config/mechanisms.hpp"

namespace anisehold::config {
namespace {

constexpr long long kHour = 3'600'000;

constexpr std::array kSpecs{
    SettingSpec{"daemon.id", &Settings::daemon_id, 1, 48, true, "",
                "Name of this daemon, unique in the fleet."},
    SettingSpec{"daemon.zone", &Settings::daemon_zone, 1, 32, true, "", "Zone that this machine stands in."},
    SettingSpec{"daemon.listen", &Settings::daemon_listen, 0, 0, true, "",
                "Where callers and other daemons' calls are accepted (HTTP)."},
    SettingSpec{"daemon.peer", &Settings::daemon_peer, 0, 0, true, "",
                "Where peers are talked to: UDP for gossip, TCP for larger messages."},
    SettingSpec{"daemon.admin", &Settings::daemon_admin, 0, 0, true, "",
                "Where /metrics, /status, /healthz, /events and the table page are served."},
    SettingSpec{"daemon.mesh_key", &Settings::daemon_mesh_key, 16, 256, true, "",
                "Secret shared by all daemons; authenticates contexts and peer messages."},
    SettingSpec{"daemon.operator_token", &Settings::daemon_operator_token, 0, 256, false, "",
                "Token that lets an operator accept a table through the admin port; empty means read-only."},
    SettingSpec{"daemon.stop_grace_ms", &Settings::daemon_stop_grace_ms, 0, kHour, false, "",
                "Longest wait for calls in flight at a planned stop."},
    SettingSpec{"platform.stores", &Settings::platform_stores, 0, 0, false, "",
                "Addresses of the key-value store (etcd v3 JSON gateway)."},
    SettingSpec{"platform.machine_list", &Settings::platform_machine_list, 0, 0, false, "",
                "Address of the machine list (HTTP service discovery JSON)."},
    SettingSpec{"platform.machine_list_path", &Settings::platform_machine_list_path, 1, 256, false, "",
                "Path of the machine list."},
    SettingSpec{"platform.poll_ms", &Settings::platform_poll_ms, 50, kHour, false, "",
                "Period of machine list polls, and of store polls while the watch is broken."},
    SettingSpec{"membership.seeds", &Settings::membership_seeds, 0, 0, false, "",
                "Peer addresses of some other daemons, to join the fleet through."},
    SettingSpec{"membership.period_ms", &Settings::membership_period_ms, 20, 60'000, false, "",
                "Gossip period: one member is probed in each."},
    SettingSpec{"membership.suspicion_periods", &Settings::membership_suspicion_periods, 1, 100, false, "",
                "Periods for which a suspected member may refute before it is declared dead."},
    SettingSpec{"limits.header_bytes", &Settings::limits_header_bytes, 1'024, 1'048'576, false, "",
                "Largest request header accepted."},
    SettingSpec{"limits.body_bytes", &Settings::limits_body_bytes, 0, 1LL << 40U, false, "",
                "Largest request body accepted."},
    SettingSpec{"limits.header_timeout_ms", &Settings::limits_header_timeout_ms, 10, kHour, false, "",
                "Longest time for a request header to arrive; also the idle time of a kept connection."},
    SettingSpec{"limits.body_timeout_ms", &Settings::limits_body_timeout_ms, 10, kHour, false, "",
                "Longest pause inside a body."},
    SettingSpec{"limits.connections", &Settings::limits_connections, 1, 1'000'000, false, "",
                "Most caller connections open at once."},
    SettingSpec{"backends.connections_per_server", &Settings::backends_connections_per_server, 1, 100'000,
                false, "", "Most connections to one server."},
    SettingSpec{"backends.connect_timeout_ms", &Settings::backends_connect_timeout_ms, 1, 60'000, false, "",
                "Longest time for connecting to a server."},
    SettingSpec{"backends.health_period_ms", &Settings::backends_health_period_ms, 50, kHour, false, "",
                "Period of health probes to servers that this daemon is the gate of."},
    SettingSpec{"backends.initial_limit", &Settings::backends_initial_limit, 1, 10'000, false, "",
                "Concurrency limit of a server before anything is learned, where the table has no limit."},
    SettingSpec{"claims.window_ms", &Settings::claims_window_ms, 1'000, 24 * kHour, false, "",
                "How long an idempotency key is remembered; must exceed the longest time after which a "
                "client may repeat one."},
    SettingSpec{"log.level", &Settings::log_level, 1, 8, false, "debug|info|warn|error",
                "Least level of events that are logged."},
    SettingSpec{"log.layout", &Settings::log_layout, 1, 8, false, "json|text", "Layout of log lines."},
    SettingSpec{"lab.enabled", &Settings::lab_enabled, 0, 0, false, "",
                "Marks a process of the lab; allows lab.without."},
    SettingSpec{"lab.without", &Settings::lab_without, 0, 0, false, "",
                "Mechanisms to switch off, to show what each is for; only with lab.enabled."},
};

using Assignment = std::optional<std::string>;  // The message when the value can't be taken.

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

Assignment assign_text(const SettingSpec& spec, std::string& target, const std::string& value) {
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

Assignment assign_integer(const SettingSpec& spec, long long& target, long long value) {
    if (value < spec.minimum || value > spec.maximum) {
        return "is " + std::to_string(value) + ", " + range_text(spec);
    }
    target = value;
    return std::nullopt;
}

Assignment assign_endpoint(Endpoint& target, const std::string& value) {
    const auto endpoint = parse_endpoint(value);
    if (!endpoint) {
        return "\"" + value + "\" is not IP:PORT with a numeric address";
    }
    target = *endpoint;
    return std::nullopt;
}

Assignment assign_endpoints(std::vector<Endpoint>& target, const std::vector<std::string>& values) {
    target.clear();
    for (const auto& value : values) {
        if (auto message = assign_endpoint(target.emplace_back(), value)) {
            return message;
        }
    }
    return std::nullopt;
}

/// Assigns a TOML value; the node's type must be the setting's.
struct NodeAssigner {
    const SettingSpec& spec;
    Settings& settings;
    const toml::node& node;

    Assignment operator()(std::string Settings::*field) const {
        const auto value = node.value_exact<std::string>();
        return value ? assign_text(spec, settings.*field, *value) : Assignment("must be text in quotes");
    }
    Assignment operator()(long long Settings::*field) const {
        const auto value = node.value_exact<int64_t>();
        return value ? assign_integer(spec, settings.*field, *value) : Assignment("must be a whole number");
    }
    Assignment operator()(bool Settings::*field) const {
        const auto value = node.value_exact<bool>();
        if (!value) {
            return "must be true or false";
        }
        settings.*field = *value;
        return std::nullopt;
    }
    Assignment operator()(Endpoint Settings::*field) const {
        const auto value = node.value_exact<std::string>();
        return value ? assign_endpoint(settings.*field, *value) : Assignment("must be \"IP:PORT\"");
    }
    Assignment operator()(std::vector<Endpoint> Settings::*field) const {
        const auto values = texts();
        return values ? assign_endpoints(settings.*field, *values)
                      : Assignment("must be a list of \"IP:PORT\"");
    }
    Assignment operator()(std::vector<std::string> Settings::*field) const {
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

    Assignment operator()(std::string Settings::*field) const {
        return assign_text(spec, settings.*field, value);
    }
    Assignment operator()(long long Settings::*field) const {
        long long number = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (error != std::errc{} || end != value.data() + value.size()) {
            return "\"" + value + "\" is not a whole number";
        }
        return assign_integer(spec, settings.*field, number);
    }
    Assignment operator()(bool Settings::*field) const {
        if (value != "true" && value != "false") {
            return "must be true or false";
        }
        settings.*field = value == "true";
        return std::nullopt;
    }
    Assignment operator()(Endpoint Settings::*field) const { return assign_endpoint(settings.*field, value); }
    Assignment operator()(std::vector<Endpoint> Settings::*field) const {
        return assign_endpoints(settings.*field, items());
    }
    Assignment operator()(std::vector<std::string> Settings::*field) const {
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
    const auto* found = std::find_if(kSpecs.begin(), kSpecs.end(),
                                     [&](const SettingSpec& spec) { return spec.name == name; });
    return found == kSpecs.end() ? nullptr : found;
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
        seen_[given.name] = place;
    }

    void check_whole() {
        if (!readable_) {
            return;
        }
        for (const auto& spec : kSpecs) {
            if (spec.required && !seen_.contains(std::string(spec.name))) {
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
        seen_[name] = place;
    }

    std::string place_of_node(const std::string& name, const toml::node& node) const {
        return file_name_ + ":" + std::to_string(node.source().begin.line) + " " + name;
    }

    std::string place_of(const std::string& name) const {
        const auto found = seen_.find(name);
        return found == seen_.end() ? file_name_ + " " + name : found->second;
    }

    void add_error(std::string place, std::string message) {
        result_.errors.push_back({std::move(place), std::move(message)});
    }

    std::string file_name_;
    bool readable_ = true;  // False after a syntax error, which hides what the file gives.
    SettingsResult result_;
    std::map<std::string, std::string> seen_;  // Name of each setting that was given, and its place.
};

struct TypeNamer {
    std::string_view operator()(std::string Settings::*) const { return "text"; }
    std::string_view operator()(long long Settings::*) const { return "whole number"; }
    std::string_view operator()(bool Settings::*) const { return "true or false"; }
    std::string_view operator()(Endpoint Settings::*) const { return "IP:PORT"; }
    std::string_view operator()(std::vector<Endpoint> Settings::*) const { return "list of IP:PORT"; }
    std::string_view operator()(std::vector<std::string> Settings::*) const { return "list of texts"; }
};

struct DefaultText {
    const Settings& settings;

    std::string operator()(std::string Settings::*field) const { return settings.*field; }
    std::string operator()(long long Settings::*field) const { return std::to_string(settings.*field); }
    std::string operator()(bool Settings::*field) const { return settings.*field ? "true" : "false"; }
    std::string operator()(Endpoint Settings::*) const { return ""; }
    std::string operator()(std::vector<Endpoint> Settings::*) const { return ""; }
    std::string operator()(std::vector<std::string> Settings::*) const { return ""; }
};

}  // namespace

std::span<const SettingSpec> setting_specs() {
    return kSpecs;
}

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

std::string flag_name(std::string_view setting_name) {
    std::string flag = "--" + std::string(setting_name);
    std::replace(flag.begin(), flag.end(), '.', '-');
    std::replace(flag.begin(), flag.end(), '_', '-');
    return flag;
}

std::string_view type_name(const SettingField& field) {
    return std::visit(TypeNamer{}, field);
}

std::string default_text(const SettingSpec& spec) {
    const Settings defaults;
    return spec.required ? std::string() : std::visit(DefaultText{defaults}, spec.field);
}

}  // namespace anisehold::config
