/// @file
/// Sends requests to the gates of other daemons (hop/hop_header), and returns their results. Owns the
/// connections to peers; reports the server load in each result to the peer directory.
#pragma once

#include <map>
#include <memory>

#include "membership/peer_directory.hpp"
#include "net/http_client.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Maintains connections to peers, and translates every end of an exchange to a typed outcome.
class HopClient {
  public:
    HopClient(SidecarContext& context, membership::PeerDirectory& directory)
        : context_(context), directory_(directory) {}

    /// Runs a request at the gate of `server`. If the gate doesn't respond, the error is `kConnectFailed` if
    /// nothing was sent, or `kBackendFailed` if the request may have run. Blocks the fiber.
    GateAnswer run(const membership::KnownServer& server, net::HttpRequest request,
                   const hop::HopRequest& call, net::CancelSignal* cancel, net::ExchangeProgress& progress);

  private:
    struct Connections {
        std::uint64_t boot_id = 0;  ///< Connections to an earlier process of the peer are unusable.
        std::shared_ptr<net::HttpClient> client;
    };

    std::shared_ptr<net::HttpClient> client_for(const membership::KnownServer& server);

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    std::map<std::string, Connections> connections_;
};

}  // namespace anisehold::sidecar
