/// @file
/// What all parts of a sidecar share: settings, identity and tools of the process, and what some parts report
/// for others to ask.
#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "admission/origin_estimator.hpp"
#include "config/sidecar_settings.hpp"
#include "observability/metrics.hpp"
#include "protocol/time_types.hpp"
#include "sidecar/overload_tracker.hpp"
#include "sidecar/stop_state.hpp"
#include "sidecar/store_standing.hpp"
#include "sidecar/wire_dialect.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::sidecar {

/// Settings, identity and tools of this process.
struct SidecarContext {
    SidecarContext(boost::asio::io_context& io_context, const WireDialect& wire_dialect,
                   config::SidecarSettings sidecar_settings)
        : io(io_context),
          dialect(wire_dialect),
          settings(std::move(sidecar_settings)),
          random(seed()),
          overload(settings) {
        boot_id = random();
    }

    /// Whether the lab has left a mechanism in force.
    bool has(config::Mechanism mechanism) const { return settings.mechanisms.has(mechanism); }
    /// A number in [0, 1).
    double random_unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }

    boost::asio::io_context& io;
    const WireDialect& dialect;
    config::SidecarSettings settings;  ///< As of the last reload, which alone writes them.
    observability::Metrics metrics;
    std::mt19937_64 random;
    std::uint64_t boot_id = 0;  ///< Random at each start of the process.
    /// Which routes clients call. Fed by the ingress, the gate and reports of peers.
    admission::OriginEstimator origins;
    /// Which services are without capacity. Fed by the attempts, the gate and reports of peers.
    OverloadTracker overload;
    /// Whether a planned stop has begun. Moved by it alone.
    StopState stop;
    /// How this daemon stands with the store. Fed by `StoreFollower`'s parts.
    StoreStanding store;

  private:
    static std::uint64_t seed() {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
};

}  // namespace anisehold::sidecar
