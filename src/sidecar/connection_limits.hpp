/// @file
/// Limits of the sidecar's HTTP connections: its pools (one to the local server, one to each peer) and its
/// listeners.
#pragma once

#include <algorithm>

#include "config/sidecar_settings.hpp"
#include "net/descriptor_limit.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "protocol/time_types.hpp"
#include "routing/configuration.hpp"

namespace anisehold::sidecar {

/// Maximum pause inside a body. A server may pause that long between two parts of a streamed one.
inline constexpr milliseconds kBodyTimeout{60'000};
/// Idle timeout of a listener in percent of the time for which callers reuse their connections. Above 100, so
/// that the caller closes an idle connection and no request meets a closed one.
inline constexpr int kIdleMarginPercent = 125;

/// Connections to the local server. Connecting on the same machine succeeds or fails at once; the server may
/// close idle connections (connection/idle_limit learns after which time).
inline net::HttpPoolLimits server_pool_limits() {
    net::HttpPoolLimits limits;
    limits.connections = 256;
    limits.connect_timeout_ms = milliseconds(500);
    limits.idle_timeout_ms = milliseconds(8'000);
    limits.body_timeout_ms = kBodyTimeout;
    return limits;
}

/// Connections to a peer. A machine that is cut off acknowledges nothing, so an unresponsive peer counts as
/// dead.
inline net::HttpPoolLimits peer_pool_limits() {
    net::HttpPoolLimits limits;
    limits.connections = 512;
    limits.connect_timeout_ms = milliseconds(300);
    limits.idle_timeout_ms = milliseconds(60'000);
    limits.body_timeout_ms = kBodyTimeout;
    limits.silence_timeout_ms = milliseconds(3'000);
    return limits;
}

/// A part of a whole.
struct Fraction {
    std::size_t numerator;
    std::size_t denominator;

    std::size_t of(std::size_t whole) const { return whole * numerator / denominator; }
};

/// Parts of the process's resources that the connections of one listener may use together.
struct ResourceParts {
    Fraction memory;
    Fraction descriptors;
};

// What is left of the memory is for the process itself, for connections to servers, and for what the
// estimates leave out; what is left of the descriptors is for connections to peers, the server and the store,
// and for files.
inline constexpr ResourceParts kCallParts{{1, 4}, {3, 8}};
inline constexpr ResourceParts kHopParts{{1, 4}, {1, 4}};
inline constexpr ResourceParts kAdminParts{{1, 32}, {1, 24}};

/// Limits of a listener by the resources that its connections may use together.
inline net::HttpServerLimits limits_by_resources(const config::SidecarSettings& settings,
                                                 const ResourceParts& parts) {
    constexpr std::size_t bytes_per_mb = 1024UL * 1024UL;
    const auto allowed = net::descriptor_limit();
    const auto descriptors =
        settings.descriptors > 0 ? std::min<std::size_t>(settings.descriptors, allowed) : allowed;
    net::HttpServerLimits limits;
    limits.held_bytes = parts.memory.of(settings.memory_mb * bytes_per_mb);
    limits.connections = std::min(limits.connections, parts.descriptors.of(descriptors));
    return limits;
}

/// Connections from this machine's clients and server, within the limits of the configuration.
inline net::HttpServerLimits call_server_limits(const config::SidecarSettings& settings,
                                                const routing::ClientBounds& bounds) {
    auto limits = limits_by_resources(settings, kCallParts);
    limits.header_bytes = bounds.header_bytes;
    limits.body_bytes = bounds.body_bytes;
    limits.header_timeout_ms = bounds.header_timeout;
    limits.idle_timeout_ms = bounds.idle_timeout * kIdleMarginPercent / 100;
    limits.body_timeout_ms = kBodyTimeout;
    return limits;
}

/// Connections from peers, the local server, operators and the platform, which may use these parts of the
/// process's resources. The idle timeout is longer than the reuse time in `peer_pool_limits`.
inline net::HttpServerLimits internal_server_limits(const config::SidecarSettings& settings,
                                                    const ResourceParts& parts) {
    auto limits = limits_by_resources(settings, parts);
    limits.header_bytes = 64 * 1024;
    limits.idle_timeout_ms = milliseconds(120'000);
    limits.body_timeout_ms = kBodyTimeout;
    return limits;
}

}  // namespace anisehold::sidecar
