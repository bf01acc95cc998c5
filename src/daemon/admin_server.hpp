/// @file
/// The admin port: metrics, status, health, events, decisions, and the table. Owns its listener; relies on
/// all parts of the daemon for what it shows. Anybody who reaches the port may read; a changed table needs
/// the operator token.
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

/// Serves operators and scrapers.
class AdminServer {
  public:
    AdminServer(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                DocumentService& documents, const ClaimService& claims, const GateService& gates,
                const routing::BackendRegistry& registry);
    std::error_code start();
    /// Shown by /healthz and /status from now on.
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
