/// @file
/// Takes calls in: from callers, from back ends (nested calls) and from other daemons (gate requests).
#pragma once

#include <memory>

#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"
#include "net/http_types.hpp"
#include "routing/backend_registry.hpp"
#include "routing/call.hpp"
#include "routing/handles/claim_route.hpp"
#include "routing/handles/client_ledger_route.hpp"
#include "routing/handles/early_refusal_route.hpp"
#include "routing/handles/ledger_route.hpp"
#include "routing/handles/retry_route.hpp"
#include "routing/handles/server_route.hpp"

namespace anisehold::daemon {

/// Turns HTTP requests into calls, routes them, and turns results into HTTP answers.
class Ingress {
  public:
    Ingress(DaemonContext& context, PeerClient& peers, MembershipService& membership,
            DocumentService& documents, ClaimService& claims, GateService& gates,
            routing::BackendRegistry& registry);

    net::HttpResponse handle(net::HttpRequest& request, net::CancelSignal& cancel);
    /// The answer to a request that could not be read.
    net::HttpResponse reject(ErrorKind kind);

  private:
    net::HttpResponse handle_call(net::HttpRequest& request, net::CancelSignal& cancel);
    net::HttpResponse handle_gate_request(net::HttpRequest& request, net::CancelSignal& cancel);
    std::optional<ErrorKind> prepare(net::HttpRequest& request, routing::Call& call);
    void set_contexts(const net::HttpRequest& request, routing::Call& call);
    net::HttpResponse finish(const routing::Call& call, routing::CallResult result);
    net::HttpResponse error_response(const routing::CallResult& result, const std::string& request_id);
    std::string random_hex(std::size_t digits);

    DaemonContext& context_;
    DocumentService& documents_;
    GateService& gates_;
    routing::BackendRegistry& registry_;

    // Root request:  client ledger -> early refusal -> claim -> retry -> server.
    // Nested call:   ledger        ->                  claim -> retry -> server.
    routing::ServerRoute server_route_;
    routing::RetryRoute retry_route_;
    routing::ClaimRoute claim_route_;
    routing::LedgerRoute nested_route_;
    routing::EarlyRefusalRoute early_refusal_route_;
    routing::ClientLedgerRoute root_route_;
};

}  // namespace anisehold::daemon
