/// @file
/// The sidecar's own endpoints for peers, the local server, the platform and operators.
#pragma once

#include <string_view>

#include "membership/peer_directory.hpp"
#include "net/http_types.hpp"
#include "registration/refusal_limit.hpp"
#include "sidecar/call_ingress.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/local_gate.hpp"
#include "sidecar/peer_exchange.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// The components used by the endpoints.
struct EndpointParts {
    SidecarContext& context;
    const membership::PeerDirectory& directory;
    const ConfigurationHolder& configuration;
    CrashExchange& crashes;
    LocalGate& gate;
    PeerExchange& peers;
    CallIngress& ingress;
};

/// One function for each listener except the ingress. Unknown requests get a 404 response. Owns the limit of
/// log lines on refused heartbeats.
class Endpoints {
  public:
    explicit Endpoints(const EndpointParts& parts) : parts_(parts) {}

    /// Handles a request for the local server (hop/hop_header), or a peer's request for the configuration.
    /// Returns 400 for a malformed header field. Blocks the fiber.
    net::HttpResponse handle_hop(net::HttpRequest& request, net::CancelSignal& cancel);
    /// Builds the response to a hop that the listener rejects: its request was not sent to the server.
    net::HttpResponse reject_hop(ErrorKind kind);
    /// Handles a registration or a leave of the local server, and announces changes to peers. Returns 400 if
    /// the request is malformed.
    net::HttpResponse handle_registration(const net::HttpRequest& request);
    /// Returns 200 if the daemon is ready, else 503. A daemon is ready if it has a configuration, knows peers
    /// or has waited long enough for any, and no planned stop has begun.
    net::HttpResponse handle_readiness(const net::HttpRequest& request) const;
    /// `GET /metrics`; `GET /suspects/` lists suspected and condemned requests; `DELETE /suspects/DIGEST`
    /// clears one of them. Returns 400 for a malformed digest.
    net::HttpResponse handle_admin(const net::HttpRequest& request);

  private:
    /// Handles a message about a reservation. Blocks the fiber for at most `reservation::maxReplyDelay`.
    net::HttpResponse answer_reservation(const hop::HopRequest& call, net::CancelSignal& cancel);
    net::HttpResponse answer_configuration(std::string_view target) const;
    bool is_ready() const;
    net::HttpResponse handle_metrics();
    net::HttpResponse handle_suspects(std::string_view method, std::string_view digest_text);
    net::HttpResponse list_suspects() const;

    EndpointParts parts_;
    registration::RefusalLimit refusals_;
    TimePoint started_ = TimePoint::clock::now();
};

}  // namespace anisehold::sidecar
