/// @file
/// The admin port's part for the operators' table: showing it, and accepting a changed one. Owns nothing;
/// relies on the documents for the table in force and on the store for the change.
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

    /// The table in force here.
    net::HttpResponse table() const;
    /// Table revisions of all members, by zone; asks each member. Revision 0 for one that didn't answer.
    net::HttpResponse table_by_zone();
    /// Takes {"base_csv", "csv", "revision", "author"}: the table that was edited, the edited one, the
    /// revision of the former. Needs the operator token: 403 without. 400 for a malformed request or a bad
    /// table, 409 for a collision, 503 if the store doesn't answer.
    net::HttpResponse accept(const net::HttpRequest& request);

  private:
    DaemonContext& context_;
    PeerClient& peers_;
    MembershipService& membership_;
    DocumentService& documents_;
};

}  // namespace anisehold::daemon
