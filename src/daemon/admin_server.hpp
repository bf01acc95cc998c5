/// @file
/// The admin port: metrics, status, health, events, decisions, and the table. Owns its listener; relies on
/// all other parts of the daemon for the content. Every client that can reach the port may read; changing the
/// table requires the operator token.
#pragma once

#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"
#include "daemon/status_page.hpp"
#include "daemon/table_admin.hpp"
#include "net/http_server.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::daemon {

/// Serves operators and metrics scrapers.
class AdminServer {
  public:
    AdminServer(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                DocumentService& documents, const ClaimService& claims, const GateService& gates,
                const routing::BackendRegistry& registry);
    std::error_code start();
    /// Makes /healthz and /status report that the daemon is stopping.
    void set_stopping() { stopping_ = true; }

  private:
    net::HttpResponse handle(net::HttpRequest& request);
    net::HttpResponse explain(std::string_view target) const;
    net::HttpResponse events() const;

    DaemonContext& context_;
    StatusSources sources_;
    TableAdmin table_;
    net::HttpServer server_;
    bool stopping_ = false;
};

}  // namespace anisehold::daemon
