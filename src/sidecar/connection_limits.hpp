/// @file
/// Limits of the sidecar's HTTP connections: its pools (one to the local server, one to each peer) and its
/// listeners.
#pragma once

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

/// Connections from this machine's clients and server, within the limits of the configuration.
inline net::HttpServerLimits call_server_limits(const routing::ClientBounds& bounds) {
    net::HttpServerLimits limits;
    limits.header_bytes = bounds.header_bytes;
    limits.body_bytes = bounds.body_bytes;
    limits.header_timeout_ms = bounds.header_timeout;
    limits.idle_timeout_ms = bounds.idle_timeout * kIdleMarginPercent / 100;
    limits.body_timeout_ms = kBodyTimeout;
    return limits;
}

/// Connections from peers, the local server, operators and the platform. The idle timeout is longer than the
/// reuse time in `peer_pool_limits`.
inline net::HttpServerLimits internal_server_limits() {
    net::HttpServerLimits limits;
    limits.header_bytes = 64 * 1024;
    limits.idle_timeout_ms = milliseconds(120'000);
    limits.body_timeout_ms = kBodyTimeout;
    return limits;
}

}  // namespace anisehold::sidecar
