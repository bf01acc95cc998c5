/// @file
/// Typed requests to other daemons over TCP. Owns its connections; relies on peer_messages for the encoding.
#pragma once

#include <optional>

#include "daemon/daemon_context.hpp"
#include "daemon/peer_messages.hpp"
#include "net/frame_transport.hpp"

namespace anisehold::daemon {

class PeerClient {
  public:
    explicit PeerClient(DaemonContext& context);

    /// Sends a request and returns the reply. Nothing if no reply arrived within `timeout`, or the reply
    /// wasn't authentic or of another type. Blocks the fiber.
    template <typename Reply>
    std::optional<Reply> ask(const Endpoint& peer, const PeerRequest& request, Duration timeout) {
        auto reply = exchange(peer, request, timeout);
        if (!reply) {
            return std::nullopt;
        }
        auto* typed = boost::get<Reply>(&*reply);
        return typed == nullptr ? std::nullopt : std::optional<Reply>(std::move(*typed));
    }

  private:
    std::optional<PeerReply> exchange(const Endpoint& peer, const PeerRequest& request, Duration timeout);

    DaemonContext& context_;
    net::FrameClient client_;
};

}  // namespace anisehold::daemon
