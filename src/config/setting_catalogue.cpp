#include <algorithm>
#include <array>

#include "config/settings.hpp"

namespace anisehold::config {
namespace {

constexpr long long kHourMs = 3'600'000;

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
    SettingSpec{"daemon.stop_grace_ms", &Settings::daemon_stop_grace_ms, 0, kHourMs, false, "",
                "Longest wait for calls in flight at a planned stop."},
    SettingSpec{"platform.stores", &Settings::platform_stores, 0, 0, false, "",
                "Addresses of the key-value store (etcd v3 JSON gateway)."},
    SettingSpec{"platform.machine_list", &Settings::platform_machine_list, 0, 0, false, "",
                "Address of the machine list (HTTP service discovery JSON)."},
    SettingSpec{"platform.machine_list_path", &Settings::platform_machine_list_path, 1, 256, false, "",
                "Path of the machine list."},
    SettingSpec{"platform.poll_ms", &Settings::platform_poll_ms, 50, kHourMs, false, "",
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
    SettingSpec{"limits.header_timeout_ms", &Settings::limits_header_timeout_ms, 10, kHourMs, false, "",
                "Longest time for a request header to arrive; also the idle time of a kept connection."},
    SettingSpec{"limits.body_timeout_ms", &Settings::limits_body_timeout_ms, 10, kHourMs, false, "",
                "Longest pause inside a body."},
    SettingSpec{"limits.connections", &Settings::limits_connections, 1, 1'000'000, false, "",
                "Most caller connections open at once."},
    SettingSpec{"backends.connections_per_server", &Settings::backends_connections_per_server, 1, 100'000,
                false, "", "Most connections to one server."},
    SettingSpec{"backends.connect_timeout_ms", &Settings::backends_connect_timeout_ms, 1, 60'000, false, "",
                "Longest time for connecting to a server."},
    SettingSpec{"backends.health_period_ms", &Settings::backends_health_period_ms, 50, kHourMs, false, "",
                "Period of health probes to servers that this daemon is the gate of."},
    SettingSpec{"backends.initial_limit", &Settings::backends_initial_limit, 1, 10'000, false, "",
                "Concurrency limit of a server before anything is learned, where the table has no limit."},
    SettingSpec{"claims.window_ms", &Settings::claims_window_ms, 1'000, 24 * kHourMs, false, "",
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
