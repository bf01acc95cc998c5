/// @file
/// State shared by all components of a sidecar: settings, identity and tools of the process, and state that
/// some components report and others read.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "admission/origin_estimator.hpp"
#include "attribution/call_matcher.hpp"
#include "config/sidecar_settings.hpp"
#include "discovery/watch_role.hpp"
#include "membership/server_notices.hpp"
#include "observability/metrics.hpp"
#include "protocol/time_types.hpp"
#include "sidecar/caller_shares.hpp"
#include "sidecar/completion_forecast.hpp"
#include "sidecar/overload_tracker.hpp"
#include "sidecar/wire_dialect.hpp"
#include "stopping/completion.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::sidecar {

/// Progress of a planned stop. Updated only by planned_stop.cpp.
class StopState {
  public:
    /// A stop has begun: readiness is denied, and periodic work ends.
    bool has_begun() const { return times_.has_value(); }
    /// Set while a stop is in progress.
    const std::optional<stopping::StopTimes>& times() const { return times_; }
    /// Peers have been told to send nothing more.
    bool is_leaving() const { return is_leaving_; }
    /// The process is about to end: requests in progress are answered with a failure now.
    bool ends_requests() const { return ends_requests_; }

    void begin(const stopping::StopTimes& times) { times_ = times; }
    void leave() { is_leaving_ = true; }
    void end_requests() { ends_requests_ = true; }

  private:
    std::optional<stopping::StopTimes> times_;
    bool is_leaving_ = false;
    bool ends_requests_ = false;
};

/// State of this daemon's relation to the store. Updated by `ConfigurationWatch` and `RegistrationKeeper`.
class StoreState {
  public:
    /// Whether this daemon has a working watch of the configuration.
    bool watches() const { return watches_; }
    /// Whether the member list has been read at least once.
    bool has_listed() const { return has_listed_; }
    /// Whether this daemon is one of its zone's watchers, which also maintain the zone's registrations.
    bool is_appointed() const { return role_ == discovery::WatchRole::appointed; }

    void on_watch(bool works) { watches_ = works; }
    void on_listed() { has_listed_ = true; }
    void on_role(discovery::WatchRole role) { role_ = role; }

  private:
    bool watches_ = false;
    bool has_listed_ = false;
    discovery::WatchRole role_ = discovery::WatchRole::none;
};

/// Settings, identity and shared services of this process.
struct SidecarContext {
    SidecarContext(boost::asio::io_context& io_context, const WireDialect& wire_dialect,
                   config::SidecarSettings sidecar_settings)
        : io(io_context),
          dialect(wire_dialect),
          settings(std::move(sidecar_settings)),
          random(seed()),
          overload(settings),
          callers(settings.zone, TimePoint::clock::now()) {
        boot_id = random();
    }

    /// Whether a mechanism is enabled; the lab can disable single mechanisms.
    bool has(config::Mechanism mechanism) const { return settings.mechanisms.has(mechanism); }
    /// Returns a random number in [0, 1).
    double random_unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }

    boost::asio::io_context& io;
    const WireDialect& dialect;
    config::SidecarSettings settings;  ///< Current settings; written only by a reload.
    observability::Metrics metrics;
    std::mt19937_64 random;
    std::uint64_t boot_id = 0;  ///< Random at each start of the process.
    /// Estimates which routes are called by clients. Updated by the ingress, the gate and reports of peers.
    admission::OriginEstimator origins;
    /// The runs at the local server, to which its calls are attributed. Updated by the gate and the ingress.
    attribution::RunsAtServer attribution;
    /// Tracks which services are overloaded. Updated by the attempts, the gate and reports of peers.
    OverloadTracker overload;
    /// Divides admitted shares among zones and tenants. Updated by the ingress and reports of peers.
    CallerShares callers;
    /// What servers stated about themselves in responses. Updated by the attempts.
    membership::ServerNotices notices;
    StopState stop;
    /// Times of this machine's requests, and of the runs at the local server. Updated by the ingress and by
    /// the gate.
    CompletionForecast call_completion{stop};
    CompletionForecast run_completion{stop};
    StoreState store;

  private:
    static std::uint64_t seed() {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
};

}  // namespace anisehold::sidecar
