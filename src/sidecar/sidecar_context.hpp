/// @file
/// What all parts of a sidecar share.
#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "admission/origin_estimator.hpp"
#include "config/sidecar_settings.hpp"
#include "observability/metrics.hpp"
#include "protocol/time_types.hpp"
#include "sidecar/overload_tracker.hpp"
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
    config::SidecarSettings settings;  ///< As of the last reload.
    observability::Metrics metrics;
    std::mt19937_64 random;
    std::uint64_t boot_id = 0;
    admission::OriginEstimator origins;
    OverloadTracker overload;
    bool stopping = false;       ///< A planned stop has begun; callers are asked to turn away.
    bool leaving = false;        ///< Peers are told to send nothing more.
    bool watches_store = false;  ///< This daemon has a working watch of the configuration.
    bool knows_fleet = false;    ///< The list of members was read, or there is no way to it.

  private:
    static std::uint64_t seed() {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
};

}  // namespace anisehold::sidecar
