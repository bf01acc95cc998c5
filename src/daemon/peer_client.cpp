#include "daemon/peer_client.hpp"

namespace anisehold::daemon {

PeerClient::PeerClient(DaemonContext& context) : context_(context), client_(context.io, kMaxFrameBytes) {}

std::optional<PeerReply> PeerClient::exchange(const Endpoint& peer, const PeerRequest& request,
                                              Duration timeout) {
    const auto& key = context_.settings.daemon_mesh_key;
    std::error_code error;
    const auto frame = client_.exchange(peer, encode(request, key), TimePoint::clock::now() + timeout, error);
    if (!frame) {
        return std::nullopt;
    }
    return decode_reply(*frame, key);
}

}  // namespace anisehold::daemon
