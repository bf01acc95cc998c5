/// @file
/// The admin port's pages for the operators' table: showing the table, and accepting a changed one. Owns
/// nothing; relies on the document service for the active table and on the store for changes.
#pragma once

#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"
#include "net/http_types.hpp"

namespace anisehold::daemon {

class TableAdmin {
  public:
    TableAdmin(DaemonContext& context, PeerClient& peers, MembershipService& membership,
               DocumentService& documents)
        : context_(context), peers_(peers), membership_(membership), documents_(documents) {}

    /// The table that is active at this daemon.
    net::HttpResponse table() const;
    /// Table revisions of all members by zone, requested from each member. Revision 0 for a member that
    /// didn't reply.
    net::HttpResponse table_by_zone();
    /// Accepts a change given as {"base_csv", "csv", "revision", "author"}: the table before the edit, the
    /// edited table, the revision of the table before the edit, and the operator's name. Returns 403 without
    /// the operator token, 400 for a malformed request or an invalid table, 409 for a collision, and 503 if
    /// the store doesn't answer.
    net::HttpResponse accept(const net::HttpRequest& request);

  private:
    DaemonContext& context_;
    PeerClient& peers_;
    MembershipService& membership_;
    DocumentService& documents_;
};

}  // namespace anisehold::daemon
