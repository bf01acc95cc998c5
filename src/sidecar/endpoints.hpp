/// @file
/// What the sidecar itself answers: to peers, to the server beside, to the platform and to operators.
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

/// The parts that endpoints ask.
struct EndpointParts {
    SidecarContext& context;
    const membership::PeerDirectory& directory;
    const ConfigurationHolder& configuration;
    CrashExchange& crashes;
    LocalGate& gate;
    PeerExchange& peers;
    CallIngress& ingress;
};

/// One function for each listener but the ingress's. Anything unknown is answered with 404. Owns the limit of
/// log lines on refused heartbeats.
class Endpoints {
  public:
    explicit Endpoints(const EndpointParts& parts) : parts_(parts) {}

    /// A request for the server beside (hop/hop_header), or a peer's question for the configuration. 400 for
    /// a malformed header line. Blocks the fiber.
    net::HttpResponse handle_hop(net::HttpRequest& request, net::CancelSignal& cancel);
    /// The server beside registers, or leaves; what changed is announced to peers. 400 if it is malformed.
    net::HttpResponse handle_registration(const net::HttpRequest& request);
    /// 200 or 503: ready is a daemon with a configuration that knows peers, or is certain enough that there
    /// are none, and for which no planned stop has begun.
    net::HttpResponse handle_readiness(const net::HttpRequest& request) const;
    /// `GET /metrics`; `GET /suspects/` lists the requests that are suspected or condemned; `DELETE
    /// /suspects/DIGEST` lifts what is held against one. 400 for a malformed digest.
    net::HttpResponse handle_admin(const net::HttpRequest& request);

  private:
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
