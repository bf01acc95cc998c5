#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "config/mechanisms.hpp"
#include "config/settings.hpp"
#include "config/sidecar_settings.hpp"
#include "golden.hpp"
#include "protocol/duration_text.hpp"

using namespace anisehold;
using namespace anisehold::config;

namespace {

constexpr const char* kLeastDaemonFile = R"([daemon]
id = "d1"
zone = "a"
listen = "127.0.0.1:1"
peer = "127.0.0.1:2"
admin = "[::1]:3"
mesh_key = "0123456789abcdef"
)";

/// Formats a parsed value.
struct ValueText {
    const Settings& settings;

    std::string operator()(std::string Settings::*field) const { return "\"" + settings.*field + "\""; }
    std::string operator()(long long Settings::*field) const { return std::to_string(settings.*field); }
    std::string operator()(bool Settings::*field) const { return settings.*field ? "true" : "false"; }
    std::string operator()(Endpoint Settings::*field) const { return (settings.*field).text(); }
    std::string operator()(std::vector<Endpoint> Settings::*field) const {
        std::string text = "[";
        for (const auto& endpoint : settings.*field) {
            text += " " + endpoint.text();
        }
        return text + " ]";
    }
    std::string operator()(std::vector<std::string> Settings::*field) const {
        std::string text = "[";
        for (const auto& word : settings.*field) {
            text += " " + word;
        }
        return text + " ]";
    }
};

std::string text_of(const std::vector<SettingError>& errors) {
    std::string text;
    for (const auto& error : errors) {
        text += "  " + error.text() + "\n";
    }
    return text;
}

std::string text_of(const SettingsResult& result) {
    std::string text;
    for (const auto& spec : setting_specs()) {
        text += std::string(spec.name) + " = " + std::visit(ValueText{result.settings}, spec.field) + "\n";
    }
    return text + text_of(result.errors);
}

std::string text_of(const MechanismSet& mechanisms) {
    std::string without;
    for (std::size_t index = 0; index < static_cast<std::size_t>(Mechanism::kCount); ++index) {
        const auto mechanism = static_cast<Mechanism>(index);
        without += mechanisms.has(mechanism) ? "" : " " + std::string(mechanism_name(mechanism));
    }
    return without.empty() ? " none" : without;
}

std::string text_of(const SidecarSettingsResult& result) {
    const auto& settings = result.settings;
    std::ostringstream text;
    text << "name: " << settings.name << "\nzone: " << settings.zone << "\nservice: " << settings.service
         << "\ncalls: " << settings.calls.text() << "\nhops: " << settings.hops.text()
         << "\ncontrol: " << settings.control.text() << "\nreadiness: " << settings.readiness.text()
         << "\ngossip: " << settings.gossip.text() << "\nmetrics: " << settings.metrics.text()
         << "\nadvertised hops: " << settings.advertised_hops.text()
         << "\nadvertised gossip: " << settings.advertised_gossip.text()
         << "\nstore: " << settings.store.text() << "\nserver: " << settings.server.text()
         << "\nheartbeat interval: " << settings.heartbeat_interval.count()
         << " ms\nstop grace: " << settings.stop_grace.count()
         << " ms\nrepeat ratio: " << settings.retry_ratio << "\nrepeat extra: " << settings.retry_extra
         << "\nrepeat window: " << settings.retry_window.count()
         << " ms\nkey revocation: " << settings.key_revocation.count()
         << " ms\ntolerated zone losses: " << settings.tolerated_zone_losses
         << "\nmemory: " << settings.memory_mb << " MiB\ndescriptors: " << settings.descriptors
         << "\nlog level: " << SidecarSettings::kLogLevel << "\nwithout:" << text_of(settings.mechanisms)
         << "\n"
         << text_of(result.errors);
    return text.str();
}

std::string deployed_file() {
    std::ifstream file(std::string(ANISEHOLD_SOURCE_DIR) + "/deploy/sidecar.toml");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Placeholders "{{name}}" of the deployed file and their values in this test.
const std::map<std::string, std::string>& machine_fields() {
    static const std::map<std::string, std::string> fields{
        {"nodeName", "node-7"},
        {"zone", "zone-b"},
        {"service", "orders"},
        {"bounds.grace", "7s"},
        {"listenAddresses.outbound", "127.0.0.1:1001"},
        {"listenAddresses.inbound", "10.0.0.7:1002"},
        {"listenAddresses.control", "127.0.0.1:1003"},
        {"listenAddresses.ready", "10.0.0.7:1004"},
        {"ip", "10.0.0.7"},
        {"internalPortRange.0", "1005"},
        {"internalPortRange.1", "1006"},
        {"platform.address", "10.0.0.1:1007"},
        {"applicationAddress", "127.0.0.1:1008"},
        {"heartbeatInterval", "1250ms"},
        {"bounds.retryBudgetRatio", "0.15"},
        {"bounds.retryBudgetExtra", "12.5"},
        {"bounds.budgetWindow", "9s"},
        {"bounds.revocation", "2.5s"},
        {"bounds.strictRevocation", "true"},
        {"faultTolerance.zones", "1"},
        {"limits.memoryMb", "260"},
        {"limits.fileDescriptors", "4100"},
    };
    return fields;
}

/// Replaces every known "{{name}}"; unknown placeholders are kept.
std::string filled(std::string text, const std::map<std::string, std::string>& fields) {
    for (const auto& [name, value] : fields) {
        const std::string place = "{{" + name + "}}";
        for (auto at = text.find(place); at != std::string::npos; at = text.find(place, at)) {
            text.replace(at, place.size(), value);
        }
    }
    return text;
}

constexpr const char* kLeastSidecarFile = R"([sidecar]
name = "n1"
zone = "z1"
service = "orders"
[listen]
calls = "127.0.0.1:1001"
hops = "127.0.0.1:1002"
control = "127.0.0.1:1003"
readiness = "127.0.0.1:1004"
gossip = "127.0.0.1:1005"
metrics = "127.0.0.1:1006"
[store]
address = "127.0.0.1:1007"
)";

/// Every optional setting, with a value other than its default.
constexpr const char* kOptionalSidecarSettings = R"([advertise]
hops = "127.0.0.1:2002"
gossip = "127.0.0.1:2005"
[servers]
address = "127.0.0.1:2008"
heartbeat_interval = "700ms"
[repeats]
ratio = "0.5"
extra = "3"
window = "4s"
[tenants]
revocation = "3s"
strict = "true"
[tolerate]
zones = "1"
[lab]
without = "hedging  quotas"
)";

/// Every setting with an invalid value.
constexpr const char* kBadSidecarFile = R"([sidecar]
name = ""
zone = 5
service = ""
stop_grace = "6"
[listen]
calls = "localhost:1001"
hops = "127.0.0.1"
control = "127.0.0.1:70000"
readiness = ":1004"
gossip = 1005
metrics = ""
[advertise]
hops = "here"
gossip = "there"
[store]
address = "store"
[servers]
address = "server"
heartbeat_interval = "soon"
[repeats]
ratio = "-1"
extra = "lots"
window = "10 s"
[tenants]
revocation = "1m"
strict = "yes"
[tolerate]
zones = "none"
[lab]
without = "hedging magic"
)";

std::string daemon_errors(const std::string& title, const std::string& more,
                          const std::vector<SettingOverride>& overrides = {}) {
    const auto result = load_settings("file.toml", std::string(kLeastDaemonFile) + more, overrides);
    return title + "\n" + text_of(result.errors);
}

}  // namespace

TEST_CASE("the catalogue of the daemon's settings", "[golden]") {
    std::string text;
    for (const auto& spec : setting_specs()) {
        text += std::string(spec.name) + "\n  flag: " + flag_name(spec.name) +
                "\n  type: " + std::string(type_name(spec.field)) + "\n  default: \"" + default_text(spec) +
                "\"\n  least: " + std::to_string(spec.minimum) + "\n  most: " + std::to_string(spec.maximum) +
                "\n  required: " + (spec.required ? "yes" : "no") +
                "\n  allowed: " + std::string(spec.allowed) +
                "\n  description: " + std::string(spec.description) + "\n";
    }
    golden::check("settings_daemon_catalogue.txt", text);
}

TEST_CASE("a daemon's settings from a file and from flags", "[golden]") {
    std::string text = "-- the least\n" + text_of(load_settings("file.toml", kLeastDaemonFile, {}));
    std::vector<SettingOverride> flags;
    for (const auto& spec : setting_specs()) {
        const auto type = type_name(spec.field);
        std::string value = "text-of-" + std::string(spec.name);
        if (spec.name == "lab.without") {
            value = "claims,drain";
        } else if (!spec.allowed.empty()) {
            value = std::string(spec.allowed.substr(spec.allowed.rfind('|') + 1));
        } else if (type == "whole number") {
            value = std::to_string(spec.maximum);
        } else if (type == "true or false") {
            value = "true";
        } else if (type == "IP:PORT") {
            value = "127.0.0.9:99";
        } else if (type == "list of IP:PORT") {
            value = "127.0.0.9:98,[::1]:97";
        }
        flags.push_back({std::string(spec.name), value});
    }
    text += "-- every flag\n" + text_of(load_settings("file.toml", kLeastDaemonFile, flags));
    golden::check("settings_daemon_values.txt", text);
}

TEST_CASE("error messages for a daemon's settings stay the same", "[golden]") {
    std::string text = "nothing given\n" + text_of(load_settings("file.toml", "", {}).errors);
    text += daemon_errors("not TOML", "broken");
    text +=
        daemon_errors("not a section", "", {}) + text_of(load_settings("file.toml", "daemon = 1", {}).errors);
    text += daemon_errors("unknown", "[limits]\nspeed = 5\n[speed]\nlimit = 1\n", {{"limits.pace", "1"}});
    text += daemon_errors("number", "[limits]\nconnections = 0\nheader_bytes = \"many\"\nbody_bytes = 1.5\n",
                          {{"membership.period_ms", "1x"}, {"claims.window_ms", "1"}});
    text += daemon_errors("text", "[log]\nlevel = \"loud\"\nlayout = 5\n",
                          {{"daemon.mesh_key", "short"}, {"log.level", "all"}});
    text += daemon_errors("truth", "[lab]\nenabled = 1\n", {{"lab.enabled", "yes"}});
    text += daemon_errors("address", "[platform]\nmachine_list = 5\n",
                          {{"daemon.listen", "localhost:1"}, {"daemon.peer", "127.0.0.1"}});
    text +=
        daemon_errors("addresses", "[platform]\nstores = \"127.0.0.1:1\"\n[membership]\nseeds = [\"a:1\"]\n",
                      {{"platform.stores", "127.0.0.1:1,x"}});
    text += daemon_errors("texts", "[lab]\nenabled = true\nwithout = \"claims\"\n");
    text += daemon_errors("outside the lab", "[lab]\nwithout = [\"claims\"]\n");
    text += daemon_errors("unknown mechanism", "[lab]\nenabled = true\nwithout = [\"magic\"]\n");
    golden::check("settings_daemon_problems.txt", text);
}

TEST_CASE("the deployed file asks for the same fields of the machine and sets the same settings",
          "[golden]") {
    auto text = deployed_file();
    REQUIRE_FALSE(text.empty());
    std::set<std::string> places;
    for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{", at + 2)) {
        places.insert(text.substr(at + 2, text.find("}}", at) - at - 2));
    }
    std::string fields;
    for (const auto& place : places) {
        fields += "field: " + place + "\n";
    }
    text = filled(text, machine_fields());
    CHECK(text.find("{{") == std::string::npos);
    auto lenient = machine_fields();
    lenient["bounds.strictRevocation"] = "false";
    golden::check("settings_sidecar_deployed.txt",
                  fields + "-- filled\n" + text_of(load_sidecar_settings("file.toml", text)) +
                      "-- without strict revocation\n" +
                      text_of(load_sidecar_settings("file.toml", filled(deployed_file(), lenient))));
}

TEST_CASE("defaults and overrides of the sidecar's settings", "[golden]") {
    const std::string least = kLeastSidecarFile;
    auto whole = least + kOptionalSidecarSettings;
    whole.insert(whole.find("[listen]"), "stop_grace = \"1s\"\n");
    golden::check("settings_sidecar_values.txt",
                  "-- the least\n" + text_of(load_sidecar_settings("file.toml", least)) + "-- everything\n" +
                      text_of(load_sidecar_settings("file.toml", whole)));
}

TEST_CASE("error messages for a sidecar's settings stay the same", "[golden]") {
    golden::check("settings_sidecar_problems.txt",
                  "empty\n" + text_of(load_sidecar_settings("file.toml", "").errors) + "every value bad\n" +
                      text_of(load_sidecar_settings("file.toml", kBadSidecarFile).errors) + "not TOML\n" +
                      text_of(load_sidecar_settings("file.toml", "[sidecar]\nname=").errors));
}

TEST_CASE("durations", "[golden]") {
    std::string text;
    for (const std::string given : {"0s", "0ms", "1500ms", "2.5s", "1e3ms", "0.4ms", "5", "5 s", "5m", "s",
                                    "", "-1s", "100000000s", "100000001s"}) {
        const auto value = parse_duration(given);
        text += "\"" + given + "\" -> " + (value ? std::to_string(value->count()) + " ms" : "none") + "\n";
    }
    golden::check("settings_durations.txt", text);
}
