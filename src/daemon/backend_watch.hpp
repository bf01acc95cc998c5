/// @file
/// Keeps the registry of servers up to date from the machine list and the servers' health endpoints. Owns the
/// connections to both; a probe that fails changes nothing, only an answer that the server is draining does.
#pragma once

#include <map>
#include <memory>

#include "daemon/daemon_context.hpp"
#include "daemon/membership_service.hpp"
#include "routing/backend_registry.hpp"
#include "store/machine_list.hpp"

namespace anisehold::daemon {

/// Polls the machine list, and the health of the servers that this daemon is the gate of.
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
