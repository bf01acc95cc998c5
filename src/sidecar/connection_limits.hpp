/// @file
/// Bounds of the sidecar's HTTP connections: its pools (one to the server beside, one to each peer) and its
/// listeners. The figures were chosen, not measured.
#pragma once

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "protocol/time_types.hpp"
#include "routing/configuration.hpp"

namespace anisehold::sidecar {

/// Longest pause inside a body. A server may think that long between two parts of a streamed one.
inline constexpr milliseconds kPauseInBody{60'000};
/// How long a listener keeps an idle connection, in percent of the time for which callers reuse theirs:
/// longer, so that it is the caller who closes it, and no request meets a closed connection.
inline constexpr int kIdleMarginPercent = 125;

/// To the server beside: on the same machine, where a connection is there at once or not at all, and which
/// may forget idle ones (connection/idle_limit learns how soon).
inline net::HttpPoolLimits server_pool_limits() {
    net::HttpPoolLimits limits;
    limits.connections = 256;
    limits.connect_timeout_ms = milliseconds(500);
    limits.idle_timeout_ms = milliseconds(8'000);
    limits.body_timeout_ms = kPauseInBody;
    return limits;
}

/// To a peer. A machine that is cut off acknowledges nothing, so a silent peer counts as dead.
inline net::HttpPoolLimits peer_pool_limits() {
    net::HttpPoolLimits limits;
    limits.connections = 512;
    limits.connect_timeout_ms = milliseconds(300);
    limits.idle_timeout_ms = milliseconds(60'000);
    limits.body_timeout_ms = kPauseInBody;
    limits.silence_timeout_ms = milliseconds(3'000);
    return limits;
}

/// From this machine's clients and server: within the configuration's bounds.
inline net::HttpServerLimits call_server_limits(const routing::ClientBounds& bounds) {
    net::HttpServerLimits limits;
    limits.header_bytes = bounds.header_bytes;
    limits.body_bytes = bounds.body_bytes;
    limits.header_timeout_ms = bounds.header_timeout;
    limits.idle_timeout_ms = bounds.idle_timeout * kIdleMarginPercent / 100;
    limits.body_timeout_ms = kPauseInBody;
    return limits;
}

/// From peers, the server beside, operators and the platform. Idle connections are kept longer than
/// `peer_pool_limits` reuses them.
inline net::HttpServerLimits internal_server_limits() {
    net::HttpServerLimits limits;
    limits.header_bytes = 64 * 1024;
    limits.idle_timeout_ms = milliseconds(120'000);
    limits.body_timeout_ms = kPauseInBody;
    return limits;
}

}  // namespace anisehold::sidecar
