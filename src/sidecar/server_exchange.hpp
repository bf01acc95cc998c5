/// @file
/// Exchange of the gate with its server: sends a request once and determines the outcome.
#pragma once

#include "net/http_types.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/gate_server.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Result of an exchange.
struct ServerExchangeResult {
    GateAnswer answer;
    /// Whether the connection ended before the response and before the deadline, so that the server may be
    /// gone.
    bool connection_broke = false;
    std::optional<ServerNotice> notice{};  ///< What the response says about the server itself.
    TimePoint sent{};
};

/// Returns the time left that the server is told for a request sent at `now`.
milliseconds time_left_for_server(const GateRun& run, TimePoint now);

/// Sends an admitted request once. Without a response the error is `kCancelled` if the caller had already
/// disconnected, `kConnectFailed` if nothing was sent, `kBackendRefused` if the server declared that it ran
/// nothing, and `kBackendFailed` if the request may have run. Blocks the fiber until slightly after
/// `run.deadline`, so that the server's own timeout response arrives first.
ServerExchangeResult exchange_with_server(const SidecarContext& context, GateServer& server,
                                          net::HttpRequest& request, const GateRun& run);

}  // namespace anisehold::sidecar
