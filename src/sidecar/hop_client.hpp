/// @file
/// Sends requests to the gates of other daemons (hop/hop_header), and takes their results. Owns the
/// connections to peers; what a result shows of a server's load goes to the directory of peers.
#pragma once

#include <map>
#include <memory>

#include "membership/peer_directory.hpp"
#include "net/http_client.hpp"
#include "sidecar/attempt_outcome.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Keeps connections to peers and makes a typed outcome of everything that can happen to an exchange.
class HopClient {
  public:
    HopClient(SidecarContext& context, membership::PeerDirectory& directory)
        : context_(context), directory_(directory) {}

    /// Runs a request at the gate beside `server`. Without an answer of that gate: `kConnectFailed` if
    /// nothing was sent, `kBackendFailed` if the request may have run. Blocks the fiber.
    GateAnswer run(const membership::KnownServer& server, net::HttpRequest request,
                   const hop::HopRequest& call, net::CancelSignal* cancel, net::ExchangeProgress& progress);

  private:
    struct Connections {
        std::uint64_t boot_id = 0;  ///< Connections to an earlier process of the peer are useless.
        std::shared_ptr<net::HttpClient> client;
    };

    std::shared_ptr<net::HttpClient> client_for(const membership::KnownServer& server);

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    std::map<std::string, Connections> connections_;
};

}  // namespace anisehold::sidecar
