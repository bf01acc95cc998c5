/// @file
/// The exchange of the gate with its server: sending a request once, and what became of it.
#pragma once

#include "net/http_types.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/gate_server.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// How the exchange ended.
struct ServerExchangeEnd {
    GateAnswer answer;
    bool has_broken = false;  ///< The connection ended before the answer and in time: the server may be gone.
    std::optional<ServerNotice> notice{};  ///< What the server's answer says of it.
    TimePoint sent{};                      ///< When the request was sent.
};

/// Sends a request that was admitted, once. Without an answer: `kCancelled` if the caller had left before,
/// `kConnectFailed` if nothing was sent, `kBackendRefused` if the server declared that it ran nothing,
/// `kBackendFailed` if it may have run. Blocks the fiber until `run.deadline` and a little longer, so that
/// the server's own answer wins.
ServerExchangeEnd exchange_with_server(const SidecarContext& context, GateServer& server,
                                       net::HttpRequest& request, const GateRun& run);

}  // namespace anisehold::sidecar
