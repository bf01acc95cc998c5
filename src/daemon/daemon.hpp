/// @file
/// The table daemon, `anisehold serve`: creates its parts, starts them, and performs planned stops.
///
/// src/daemon belongs to this program only; src/sidecar is the other program, `anisehold sidecar`. In this
/// program a call passes through ingress, the handles, gate_service and the server. Both programs use
/// admission, config, logging, membership, net, observability, protocol, retry, routing and store, but share
/// few files of these folders: claims, config/table, membership/swim, retry_ledger, retry_budget,
/// backend_registry, balancer, route_table, etcd_store and table_store belong to the table daemon;
/// peer_directory, window_budget, attempt_plan, configuration, weighted_split and coordination_store belong
/// to the sidecar. cli and explain are the command line; all other folders belong to the sidecar.
#pragma once

#include <memory>

#include "config/settings.hpp"

namespace anisehold::net {
class EventLoop;
}

namespace anisehold::daemon {

/// Owns all parts of `anisehold serve`.
class Daemon {
  public:
    Daemon(net::EventLoop& loop, config::Settings settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Binds all addresses and starts all parts. False if an address can't be bound; the failure is logged as
    /// an event.
    bool start();
    /// Performs a planned stop: announces the stop to peers, waits up to `daemon.stop_grace_ms` for calls in
    /// flight, then returns. Blocks the fiber. `reason` is logged.
    void stop(const std::string& reason);

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace anisehold::daemon
