/// @file
/// The table daemon, `anisehold serve`: builds its parts, starts them, and stops as planned.
///
/// src/daemon is this program alone, and src/sidecar is the other one, `anisehold sidecar`. A call takes this
/// way here: ingress, the handles, gate_service, the server. Both programs use admission, config, logging,
/// membership, net, observability, protocol, retry, routing and store, though few of their files: claims,
/// config/table, membership/swim, retry_ledger, retry_budget, backend_registry, balancer, route_table,
/// etcd_store and table_store are this program's; peer_directory, window_budget, attempt_plan, configuration,
/// weighted_split and coordination_store are the sidecar's. cli and explain are the command line; all other
/// folders are the sidecar's.
#pragma once

#include <memory>

#include "config/settings.hpp"

namespace anisehold::net {
class EventLoop;
}

namespace anisehold::daemon {

/// Everything that `anisehold serve` runs.
class Daemon {
  public:
    Daemon(net::EventLoop& loop, config::Settings settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Binds all addresses and starts. False if one can't be bound; an event names it.
    bool start();
    /// The planned stop: announces it to peers, waits for what is in flight for `daemon.stop_grace_ms` at
    /// most, then returns. Blocks the fiber.
    void stop();

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace anisehold::daemon
