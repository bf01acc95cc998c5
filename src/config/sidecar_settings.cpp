#include "config/sidecar_settings.hpp"

#include <toml++/toml.h>

#include <sstream>

#include "protocol/duration_text.hpp"
#include "protocol/number_text.hpp"

namespace anisehold::config {
namespace {

/// Minimum of `limits.memory_mb`; a process without callers takes about 10 MiB.
constexpr unsigned kMinMemoryMb = 32;

/// Reads the values of one file and collects the errors.
class SettingReader {
  public:
    SettingReader(std::string file_name, const toml::table& table, std::vector<SettingError>& errors)
        : file_name_(std::move(file_name)), table_(table), errors_(errors) {}

    void text(std::string_view name, std::string& value) {
        const auto found = find(name);
        if (found.empty()) {
            add_error(name, "is missing");
        } else {
            value = found;
        }
    }

    void endpoint(std::string_view name, Endpoint& value) {
        const auto parsed = parse_endpoint(find(name));
        if (parsed) {
            value = *parsed;
        } else {
            add_error(name, "isn't IP:PORT");
        }
    }

    void endpoint_if_given(std::string_view name, Endpoint& value) {
        if (!find(name).empty()) {
            endpoint(name, value);
        }
    }

    void duration(std::string_view name, milliseconds& value) {
        const auto found = find(name);
        if (found.empty()) {
            return;
        }
        const auto parsed = parse_duration(found);
        if (parsed) {
            value = *parsed;
        } else {
            add_error(name, "isn't a length of time such as 1500ms or 2.5s");
        }
    }

    /// Reads the names of the mechanisms to switch off, separated by spaces.
    void mechanisms_without(std::string_view name, MechanismSet& value) {
        std::istringstream words(find(name));
        std::vector<std::string> names;
        std::string word;
        while (words >> word) {
            if (!mechanism_from_name(word)) {
                add_error(name, "\"" + word + "\" is not one of " + mechanism_names());
            }
            names.push_back(word);
        }
        value = MechanismSet(names);
    }

    bool flag(std::string_view name, bool default_value) {
        const auto found = find(name);
        if (found.empty()) {
            return default_value;
        }
        if (found != "true" && found != "false") {
            add_error(name, "is neither true nor false");
        }
        return found == "true";
    }

    void whole_number(std::string_view name, unsigned& value, unsigned minimum = 0) {
        const auto found = find(name);
        if (found.empty()) {
            return;
        }
        const auto parsed = parse_number<unsigned>(found);
        if (parsed && *parsed >= minimum) {
            value = *parsed;
        } else {
            add_error(name, "isn't a whole number from " + std::to_string(minimum));
        }
    }

    void number(std::string_view name, double& value) {
        const auto found = find(name);
        if (found.empty()) {
            return;
        }
        const auto parsed = parse_number<double>(found);
        if (!parsed || *parsed < 0) {
            add_error(name, "isn't a number from 0");
        } else {
            value = *parsed;
        }
    }

  private:
    std::string find(std::string_view name) const { return table_.at_path(name).value_or(std::string{}); }
    void add_error(std::string_view name, const std::string& message) {
        errors_.push_back({file_name_ + " " + std::string(name), message});
    }

    std::string file_name_;
    const toml::table& table_;
    std::vector<SettingError>& errors_;
};

}  // namespace

SidecarSettingsResult load_sidecar_settings(const std::string& file_name, std::string_view text) {
    SidecarSettingsResult result;
    toml::table table;
    try {
        table = toml::parse(text);
    } catch (const toml::parse_error& error) {
        const auto line = std::to_string(error.source().begin.line);
        result.errors.push_back({file_name + ":" + line, std::string(error.description())});
        return result;
    }
    auto& settings = result.settings;
    SettingReader reader(file_name, table, result.errors);
    reader.text("sidecar.name", settings.name);
    reader.text("sidecar.zone", settings.zone);
    reader.text("sidecar.service", settings.service);
    reader.endpoint("listen.calls", settings.calls);
    reader.endpoint("listen.hops", settings.hops);
    reader.endpoint("listen.control", settings.control);
    reader.endpoint("listen.readiness", settings.readiness);
    reader.endpoint("listen.gossip", settings.gossip);
    reader.endpoint("listen.metrics", settings.metrics);
    settings.advertised_hops = settings.hops;
    settings.advertised_gossip = settings.gossip;
    reader.endpoint_if_given("advertise.hops", settings.advertised_hops);
    reader.endpoint_if_given("advertise.gossip", settings.advertised_gossip);
    reader.endpoint("store.address", settings.store);
    reader.endpoint_if_given("servers.address", settings.server);
    reader.duration("servers.heartbeat_interval", settings.heartbeat_interval);
    reader.duration("sidecar.stop_grace", settings.stop_grace);
    reader.number("repeats.ratio", settings.retry_ratio);
    reader.number("repeats.extra", settings.retry_extra);
    reader.duration("repeats.window", settings.retry_window);
    reader.duration("tenants.revocation", settings.key_revocation);
    if (!reader.flag("tenants.strict", true)) {
        settings.key_revocation = milliseconds(0);
    }
    reader.whole_number("tolerate.zones", settings.tolerated_zone_losses);
    reader.whole_number("limits.memory_mb", settings.memory_mb, kMinMemoryMb);
    reader.whole_number("limits.descriptors", settings.descriptors);
    reader.mechanisms_without("lab.without", settings.mechanisms);
    if (settings.tolerated_zone_losses == 0) {
        settings.mechanisms.disable_shortage_mechanisms();
    }
    return result;
}

}  // namespace anisehold::config
