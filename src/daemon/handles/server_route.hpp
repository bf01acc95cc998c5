/// @file
/// Chooses a server for a call and passes the call to the server's gate, in this daemon or another one. Owns
/// the connections to other daemons; relies on the registry and the balancer for the choice.
#pragma once

#include <map>
#include <memory>

#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/membership_service.hpp"
#include "net/http_client.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::daemon {

/// Tries another server only if the first server is known to have run nothing.
class ServerRoute final : public RouteHandle {
  public:
    ServerRoute(DaemonContext& context, MembershipService& membership, routing::BackendRegistry& registry,
                GateService& gates)
        : context_(context), membership_(membership), registry_(registry), gates_(gates) {}
    CallResult route(Call& call) override;

  private:
    CallResult try_servers(Call& call);
    static bool charge_for_server_change(Call& call, CallResult& result);
    CallResult route_to(Call& call, const Endpoint& server, const std::string& zone);
    CallResult ask_remote_gate(Call& call, const Endpoint& server, const membership::MemberInfo& gate);
    CallResult remote_result(net::HttpResponse response, const Call& call, const Endpoint& server);
    net::HttpClient& client_for(const membership::MemberInfo& member);

    DaemonContext& context_;
    MembershipService& membership_;
    routing::BackendRegistry& registry_;
    GateService& gates_;
    std::map<Endpoint, std::unique_ptr<net::HttpClient>> clients_;
};

}  // namespace anisehold::daemon
