#include "daemon/peer_service.hpp"

#include "observability/events.hpp"

namespace anisehold::daemon {
namespace {

/// Dispatches a request to its service; one overload per request type.
struct RequestVisitor : boost::static_visitor<PeerReply> {
    MembershipService& membership;
    DocumentService& documents;
    ClaimService& claims;
    GateService& gates;

    RequestVisitor(MembershipService& membership, DocumentService& documents, ClaimService& claims,
                   GateService& gates)
        : membership(membership), documents(documents), claims(claims), gates(gates) {}

    PeerReply operator()(const MembersRequest& request) const {
        return MembersReply{membership.exchange_records(request.records)};
    }
    PeerReply operator()(const DocumentRequest& request) const { return documents.document(request.kind); }
    PeerReply operator()(const claims::ClaimRequest& request) const { return claims.handle(request); }
    PeerReply operator()(const claims::ClaimUpdate& request) const {
        claims.handle(request);
        return Acknowledged{};
    }
    PeerReply operator()(const claims::ClaimSyncRequest& request) const { return claims.handle(request); }
    PeerReply operator()(const claims::ClaimStatusRequest& request) const { return claims.handle(request); }
    PeerReply operator()(const retry::DrawRequest& request) const { return gates.handle(request); }
    PeerReply operator()(const retry::SettleRequest& request) const {
        gates.handle(request);
        return Acknowledged{};
    }
    PeerReply operator()(const RevisionsRequest& /*request*/) const {
        return RevisionsReply{documents.revisions()};
    }
    PeerReply operator()(const AnswerRequest& request) const { return claims.handle(request); }
};

}  // namespace

PeerService::PeerService(DaemonContext& context, MembershipService& membership, DocumentService& documents,
                         ClaimService& claims, GateService& gates)
    : context_(context),
      membership_(membership),
      documents_(documents),
      claims_(claims),
      gates_(gates),
      server_(context.io, kMaxFrameBytes, [this](std::string_view frame) { return handle_frame(frame); }) {}

std::error_code PeerService::start() {
    return server_.start(context_.settings.daemon_peer);
}

std::optional<std::string> PeerService::handle_frame(std::string_view frame) {
    const auto& key = context_.settings.daemon_mesh_key;
    const auto request = decode_request(frame, key);
    if (!request) {
        observability::log_event(observability::Event::kPeerFrameRefused,
                                 {{"transport", "tcp"}, {"bytes", std::to_string(frame.size())}});
        return std::nullopt;
    }
    const RequestVisitor visitor(membership_, documents_, claims_, gates_);
    auto reply = encode(boost::apply_visitor(visitor, *request), key);
    context_.control_bytes += frame.size() + reply.size();
    return reply;
}

}  // namespace anisehold::daemon
