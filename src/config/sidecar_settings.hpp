/// @file
/// Settings of the sidecar: the daemon that stands beside one server and takes the calls of its machine. Owns
/// the names of its keys and their defaults; reads no file itself.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/mechanisms.hpp"
#include "config/settings.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::config {

/// Checked settings of one sidecar. The defaults are chosen, not measured.
struct SidecarSettings {
    /// Least level of events that are logged; no key of the file sets it.
    static constexpr const char* kLogLevel = "info";

    std::string name;  ///< Unique in the fleet.
    std::string zone;
    std::string service;         ///< Service of the server on this machine; servers get it as the caller's.
    Endpoint calls;              ///< Where the machine's clients and server send requests.
    Endpoint hops;               ///< Where other daemons send requests for this machine's server.
    Endpoint control;            ///< Where the server registers.
    Endpoint readiness;          ///< Where the platform asks for readiness.
    Endpoint gossip;             ///< Where peers' records come in (UDP).
    Endpoint metrics;            ///< Where metrics are served.
    Endpoint advertised_hops;    ///< What peers send to in place of `hops`, where a forwarder stands between.
    Endpoint advertised_gossip;  ///< The same for `gossip`.
    Endpoint store;
    Endpoint server;  ///< The server beside; port 0 if it isn't known before its first heartbeat.
    milliseconds heartbeat_interval{1'500};  ///< Time between two heartbeats of a server.
    milliseconds stop_grace{6'000};          ///< Longest time that a planned stop takes.
    double retry_ratio = 0.2;                ///< Retries that a request in the window allows.
    double retry_extra = 0;                  ///< Retries a window beyond the ratio; see `WindowBudgetTerms`.
    milliseconds retry_window{10'000};       ///< Time over which retries are counted.
    /// How long after the store acknowledged that a key was taken away it may still be served; 0 for no
    /// bound.
    milliseconds key_revocation{0};
    MechanismSet mechanisms;  ///< All but those that the lab switches off.
};

/// Settings, usable only when `errors` is empty.
struct SidecarSettingsResult {
    SidecarSettings settings;
    std::vector<SettingError> errors;
};

/// Reads TOML. Unknown keys are skipped; missing and malformed ones are errors with their place.
SidecarSettingsResult load_sidecar_settings(const std::string& file_name, std::string_view text);

}  // namespace anisehold::config
