/// @file
/// The admin port: metrics, status, health, events, decisions, and the table.
#pragma once

#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"
#include "net/http_server.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::daemon {

/// Serves operators and scrapers.
class AdminServer {
  public:
    AdminServer(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                DocumentService& documents, ClaimService& claims, GateService& gates,
                routing::BackendRegistry& registry);
    std::error_code start();
    /// Shown by /healthz and /status from now on.
    void set_stopping() { stopping_ = true; }

  private:
    net::HttpResponse handle(net::HttpRequest& request);
    net::HttpResponse set_peer_faults(const net::HttpRequest& request);
    net::HttpResponse status() const;
    net::HttpResponse explain(std::string_view target) const;
    net::HttpResponse events() const;
    net::HttpResponse table() const;
    net::HttpResponse table_by_zone();
    net::HttpResponse accept_table(const net::HttpRequest& request);

    DaemonContext& context_;
    PeerClient& peers_;
    MembershipService& membership_;
    DocumentService& documents_;
    ClaimService& claims_;
    GateService& gates_;
    routing::BackendRegistry& registry_;
    net::HttpServer server_;
    bool stopping_ = false;
};

}  // namespace anisehold::daemon
