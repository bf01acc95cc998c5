/// @file
/// Accepts calls from callers, from servers (nested calls) and from other daemons (gate requests). Owns the
/// chain of route handles; relies on the active table for the call's row.
#pragma once

#include "daemon/call.hpp"
#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/handles/claim_route.hpp"
#include "daemon/handles/client_ledger_route.hpp"
#include "daemon/handles/early_refusal_route.hpp"
#include "daemon/handles/ledger_route.hpp"
#include "daemon/handles/retry_route.hpp"
#include "daemon/handles/server_route.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"
#include "net/http_types.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::daemon {

/// Converts HTTP requests into calls, routes them, and converts the results into HTTP responses.
class Ingress {
  public:
    Ingress(DaemonContext& context, PeerClient& peers, MembershipService& membership,
            DocumentService& documents, ClaimService& claims, GateService& gates,
            routing::BackendRegistry& registry);

    net::HttpResponse handle(net::HttpRequest& request, net::CancelSignal& cancel);
    /// Returns the response to a request that could not be parsed.
    net::HttpResponse reject(ErrorKind kind);

  private:
    net::HttpResponse handle_call(net::HttpRequest& request, net::CancelSignal& cancel);
    net::HttpResponse handle_gate_request(net::HttpRequest& request, net::CancelSignal& cancel);
    std::optional<ErrorKind> prepare(net::HttpRequest& request, Call& call);
    void set_contexts(const net::HttpRequest& request, Call& call);
    net::HttpResponse finish(const Call& call, CallResult result);
    net::HttpResponse error_response(const CallResult& result, const std::string& request_id);
    std::string random_hex(std::size_t digits);

    DaemonContext& context_;
    DocumentService& documents_;
    GateService& gates_;

    // Order of the route handles:
    // Root request:  client ledger -> early refusal -> claim -> retry -> server.
    // Nested call:   ledger        ->                  claim -> retry -> server.
    ServerRoute server_route_;
    RetryRoute retry_route_;
    ClaimRoute claim_route_;
    LedgerRoute nested_route_;
    EarlyRefusalRoute early_refusal_route_;
    ClientLedgerRoute root_route_;
};

}  // namespace anisehold::daemon
