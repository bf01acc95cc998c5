/// @file
/// Answers other daemons' requests over TCP. Owns the listener; a frame that isn't authentic is logged and
/// closes the connection unanswered.
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
    std::optional<std::string> answer_frame(std::string_view frame);

    DaemonContext& context_;
    MembershipService& membership_;
    DocumentService& documents_;
    ClaimService& claims_;
    GateService& gates_;
    net::FrameServer server_;
};

}  // namespace anisehold::daemon
