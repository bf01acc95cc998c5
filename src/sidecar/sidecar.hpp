/// @file
/// The sidecar: one process on the machine of each server, between all callers and all servers of a
/// deployment.
///
/// The components in src/sidecar belong to `anisehold sidecar`, which runs on a platform; those in src/daemon
/// belong to `anisehold serve`, a daemon with its own table. Both use the rules in the other folders.
///
/// A request arrives at `CallIngress`, is sent by `CallAttempts` to the daemon of a server through
/// `HopClient` and `Endpoints::handle_hop`, or directly if that is this daemon, and passes the `LocalGate`
/// there.
#pragma once

#include <memory>
#include <string>

#include "config/sidecar_settings.hpp"
#include "net/event_loop.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/wire_dialect.hpp"
#include "store/coordination_store.hpp"

namespace anisehold::sidecar {

/// Creates, connects, starts and stops the components.
class Sidecar {
  public:
    /// `settings_file` is reloaded when it changes.
    Sidecar(net::EventLoop& loop, const WireDialect& dialect, store::CoordinationStore& store,
            config::SidecarSettings settings, std::string settings_file);
    ~Sidecar();
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;

    /// Binds all addresses and starts serving. Logs an error and returns false if an address can't be bound.
    bool start();
    /// Performs the planned stop (planned_stop.hpp); returns within the grace time of the settings. `reason`
    /// is logged.
    void stop(const std::string& reason);

  private:
    struct Parts;

    /// Binds all addresses; returns false if one can't be bound.
    bool bind();
    void on_configuration(const routing::Configuration& configuration, ConfigurationSource source);
    /// Registers the local server before its first heartbeat, if a probe finds it healthy.
    void probe_server();

    std::unique_ptr<Parts> parts_;
};

}  // namespace anisehold::sidecar
