/// @file
/// Settings of the sidecar: the daemon that runs on the machine of one server and handles the machine's
/// calls. Owns the names of the keys and their defaults; reads no file itself.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/mechanisms.hpp"
#include "config/settings.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::config {

/// Validated settings of one sidecar.
struct SidecarSettings {
    /// Minimum level of logged events; not configurable in the settings file.
    static constexpr const char* kLogLevel = "info";

    std::string name;  ///< Unique within the fleet.
    std::string zone;
    std::string service;       ///< Service of the local server; also sent to called servers as the caller.
    Endpoint calls;            ///< Listens for requests from the machine's clients and the local server.
    Endpoint hops;             ///< Listens for requests from other daemons to the local server.
    Endpoint control;          ///< Listens for registrations of the local server.
    Endpoint readiness;        ///< Listens for readiness checks of the platform.
    Endpoint gossip;           ///< Listens for peers' records (UDP).
    Endpoint metrics;          ///< Listens for metrics scrapers.
    Endpoint advertised_hops;  ///< Address announced to peers instead of `hops`, for use behind a forwarder.
    Endpoint advertised_gossip;  ///< Address announced to peers instead of `gossip`.
    Endpoint store;
    Endpoint server;  ///< The local server; port 0 if unknown before its first heartbeat.
    milliseconds heartbeat_interval{1'500};  ///< Interval between two heartbeats of a server.
    milliseconds stop_grace{6'000};          ///< Maximum duration of a planned stop.
    double retry_ratio = 0.2;                ///< Retries allowed per request in the window.
    double retry_extra = 0;  ///< Retries allowed per window beyond the ratio; see `WindowBudgetTerms`.
    milliseconds retry_window{10'000};  ///< Window over which retries are counted.
    /// Maximum time for which a revoked key may still be accepted after the store acknowledged the
    /// revocation; 0 for no bound.
    milliseconds key_revocation{0};
    /// Number of zones whose loss the deployment must bear. Above 0, capacity may be short at any time and
    /// peers may fall silent, so the mechanisms for a shortage are enabled.
    unsigned tolerated_zone_losses = 0;
    /// Memory that the process may use, in MiB. Bounds what is kept for callers.
    unsigned memory_mb = 256;
    /// Descriptors that the process may open; 0 for as many as the system allows it.
    unsigned descriptors = 0;
    /// The mechanisms that the deployment calls for, except those that the lab switches off.
    MechanismSet mechanisms;
};

/// Result of loading settings; valid only if `errors` is empty.
struct SidecarSettingsResult {
    SidecarSettings settings;
    std::vector<SettingError> errors;
};

/// Parses TOML settings. Unknown keys are ignored; missing and malformed keys are reported as errors with
/// their place.
SidecarSettingsResult load_sidecar_settings(const std::string& file_name, std::string_view text);

}  // namespace anisehold::config
