/// @file
/// The planned stop: leaves the fleet, completes the requests in flight, and ends within the grace time. Owns
/// nothing; updates `SidecarContext::stop`.
#pragma once

#include <string>

#include "net/http_server.hpp"
#include "sidecar/call_ingress.hpp"
#include "sidecar/local_gate.hpp"
#include "sidecar/peer_exchange.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// The components involved in a stop.
struct StopParts {
    SidecarContext& context;
    net::HttpServer& calls;
    net::HttpServer& hops;
    CallIngress& ingress;
    LocalGate& gate;
    PeerExchange& peers;
};

/// Returns when the process may exit. Blocks the fiber for the grace time of the settings at most. The steps
/// are:
///
/// 1. Readiness is denied and responses close their connections, so that callers switch to other daemons; the
///    local server keeps serving the fleet.
/// 2. Peers are told that this daemon is leaving, and stop sending requests.
/// 3. When no request has arrived for a while, no more are accepted.
/// 4. The requests in flight are completed.
/// 5. Shortly before the grace time ends, those that are left are answered with a failure. Requests that run
///    at the local server for peers are cut when the process ends.
///
/// From the first step on, `CallAttempts` and `LocalGate` refuse requests that can't be completed before the
/// process ends (sidecar/completion_forecast).
///
/// The log names each request that is left in the last step. `reason` is logged.
void run_planned_stop(const StopParts& parts, const std::string& reason);

}  // namespace anisehold::sidecar
