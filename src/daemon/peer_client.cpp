#include "daemon/peer_client.hpp"

namespace anisehold::daemon {

PeerClient::PeerClient(DaemonContext& context) : context_(context), client_(context.io, kMaxFrameBytes) {}

std::optional<PeerReply> PeerClient::exchange(const Endpoint& peer, const PeerRequest& request,
                                              Duration timeout) {
    const auto& key = context_.settings.daemon_mesh_key;
    std::error_code error;
    const auto sent = encode(request, key);
    const auto frame = client_.exchange(peer, sent, TimePoint::clock::now() + timeout, error);
    context_.control_bytes += sent.size();
    if (!frame) {
        return std::nullopt;
    }
    context_.control_bytes += frame->size();
    return decode_reply(*frame, key);
}

}  // namespace anisehold::daemon
