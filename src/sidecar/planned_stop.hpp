/// @file
/// The planned stop: leaves the fleet, finishes what is in flight, ends within the grace time. Owns nothing;
/// moves `SidecarContext::stop`.
#pragma once

#include "net/http_server.hpp"
#include "sidecar/local_gate.hpp"
#include "sidecar/peer_exchange.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// What a stop needs.
struct StopParts {
    SidecarContext& context;
    net::HttpServer& calls;
    net::HttpServer& hops;
    const LocalGate& gate;
    PeerExchange& peers;
};

/// Returns when the process may end. Blocks the fiber for the grace time of the settings at most. In turn:
///
/// 1. readiness is denied and answers close their connections, so that callers turn to other daemons; the
///    server beside goes on serving the fleet meanwhile;
/// 2. peers are sent that this daemon leaves, and send nothing more;
/// 3. once no request has come for a while, nothing is accepted any more;
/// 4. what is in flight ends.
void stop_as_planned(const StopParts& parts);

}  // namespace anisehold::sidecar
