/// @file
/// Bounds of the sidecar's pools of HTTP connections: one pool to the server beside, one to each peer. The
/// figures were chosen, not measured.
#pragma once

#include "net/http_client.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::sidecar {

/// Longest pause inside an answer's body. A server may think that long between two parts of a streamed one.
inline constexpr milliseconds kPauseInBody{60'000};

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

/// To a peer: it keeps idle connections for 120 s (sidecar.cpp), longer than they are reused here. A machine
/// that is cut off acknowledges nothing.
inline net::HttpPoolLimits peer_pool_limits() {
    net::HttpPoolLimits limits;
    limits.connections = 512;
    limits.connect_timeout_ms = milliseconds(300);
    limits.idle_timeout_ms = milliseconds(60'000);
    limits.body_timeout_ms = kPauseInBody;
    limits.silence_timeout_ms = milliseconds(3'000);
    return limits;
}

}  // namespace anisehold::sidecar
