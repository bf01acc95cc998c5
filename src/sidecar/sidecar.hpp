/// @file
/// The sidecar: one process beside one server, between all callers and all servers of a deployment.
///
/// The parts in src/sidecar belong to `anisehold sidecar`, which runs on a platform; those in src/daemon to
/// `anisehold serve`, a daemon with a table of its own. Both use the rules in the other folders.
///
/// A request comes in at `CallIngress`, is sent by `CallAttempts` to a server's daemon through `HopClient`
/// and `HopEndpoint`, or without them if that is this one, and passes the `LocalGate` there.
#pragma once

#include <memory>
#include <string>

#include "config/sidecar_settings.hpp"
#include "net/event_loop.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/wire_dialect.hpp"
#include "store/coordination_store.hpp"

namespace anisehold::sidecar {

/// Puts the parts together, starts and stops them.
class Sidecar {
  public:
    /// `settings_file` is read again when it changes.
    Sidecar(net::EventLoop& loop, const WireDialect& dialect, store::CoordinationStore& store,
            config::SidecarSettings settings, std::string settings_file);
    ~Sidecar();
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;

    /// Binds all addresses and starts serving; false, and a line in the log, if one can't be bound.
    bool start();
    /// Planned stop (planned_stop.hpp): returns within the grace time of the settings.
    void stop();

  private:
    struct Parts;

    /// Binds all addresses; false if one can't be bound.
    bool bind();
    void on_configuration(const routing::Configuration& configuration, ConfigurationSource source);
    /// Takes the server beside into service before its first heartbeat, if it is well.
    void find_server();

    std::unique_ptr<Parts> parts_;
};

}  // namespace anisehold::sidecar
