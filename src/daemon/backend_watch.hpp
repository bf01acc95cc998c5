/// @file
/// Updates the registry of servers from the machine list and the servers' health endpoints. Owns the
/// connections to both. A failed health probe changes nothing; only a response that says the server is
/// draining does.
#pragma once

#include <map>
#include <memory>

#include "daemon/daemon_context.hpp"
#include "daemon/membership_service.hpp"
#include "routing/backend_registry.hpp"
#include "store/machine_list.hpp"

namespace anisehold::daemon {

/// Polls the machine list, and the health of the servers whose gates this daemon keeps.
class BackendWatch {
  public:
    BackendWatch(DaemonContext& context, MembershipService& membership, routing::BackendRegistry& registry);
    void start();

  private:
    void run_list_polls();
    void run_health_probes();
    void probe(const routing::ListedServer& server);
    void report_changes(const std::vector<routing::ListedServer>& servers);

    DaemonContext& context_;
    MembershipService& membership_;
    routing::BackendRegistry& registry_;
    store::MachineListClient list_;
    std::map<Endpoint, std::shared_ptr<net::HttpClient>> health_clients_;
    bool list_reachable_ = true;
};

}  // namespace anisehold::daemon
