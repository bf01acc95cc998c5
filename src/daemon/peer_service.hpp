/// @file
/// Serves other daemons' requests over TCP. Owns the listener. A frame that isn't authentic is logged, and
/// its connection is closed without a reply.
#pragma once

#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_messages.hpp"
#include "net/frame_transport.hpp"

namespace anisehold::daemon {

/// Serves the peer protocol over TCP.
class PeerService {
  public:
    PeerService(DaemonContext& context, MembershipService& membership, DocumentService& documents,
                ClaimService& claims, GateService& gates);
    std::error_code start();

  private:
    std::optional<std::string> handle_frame(std::string_view frame);

    DaemonContext& context_;
    MembershipService& membership_;
    DocumentService& documents_;
    ClaimService& claims_;
    GateService& gates_;
    net::FrameServer server_;
};

}  // namespace anisehold::daemon
