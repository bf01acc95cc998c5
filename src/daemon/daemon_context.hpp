/// @file
/// State shared by all parts of one daemon: settings, metrics, recent decisions and the random number
/// generator. Owns all of them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <random>

#include "config/mechanisms.hpp"
#include "config/settings.hpp"
#include "membership/member.hpp"
#include "observability/decision_ring.hpp"
#include "observability/metrics.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::daemon {

/// Exists for the lifetime of the daemon; used from its single thread only.
struct DaemonContext {
    boost::asio::io_context& io;
    config::Settings settings;
    config::MechanismSet mechanisms;
    membership::MemberInfo self;
    observability::Metrics metrics;
    observability::DecisionRing decisions;
    std::mt19937_64 random;
    std::uint64_t control_bytes = 0;  ///< Bytes sent and received on the peer address, UDP and TCP.

    bool has(config::Mechanism mechanism) const { return mechanisms.has(mechanism); }
    /// Uniform in [0, 1).
    double random_unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }
    /// `base` times a random factor from 0.5 to 1.5, which prevents daemons from acting in step.
    Duration jittered(Duration base) {
        return std::chrono::duration_cast<Duration>(base * (0.5 + random_unit()));
    }
};

}  // namespace anisehold::daemon
