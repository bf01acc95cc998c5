/// @file
/// The sidecar's work with the store, in four fibers.
#pragma once

#include <utility>

#include "membership/peer_directory.hpp"
#include "net/event_loop.hpp"
#include "sidecar/configuration_watch.hpp"
#include "sidecar/registration_keeper.hpp"
#include "sidecar/sidecar_context.hpp"
#include "sidecar/store_link.hpp"
#include "sidecar/zone_registrations.hpp"

namespace anisehold::sidecar {

/// Owns the components and starts their fibers: the first read of the configuration and its watch
/// (`ConfigurationWatch`), this daemon's registration (`RegistrationKeeper`), and the registrations of its
/// zone (`ZoneRegistrations`).
class StoreFollower {
  public:
    StoreFollower(SidecarContext& context, store::CoordinationStore& store,
                  ConfigurationHolder& configuration, membership::PeerDirectory& directory,
                  ProofKeeper& proofs, CrashExchange& crashes)
        : link_(context, store),
          watch_(context, link_, configuration, directory, proofs),
          registration_(context, link_, directory, crashes),
          zone_(context, link_, directory, crashes) {}

    /// `peers_found` is called after each listing of the peers.
    void start(RegistrationKeeper::PeersFound peers_found) {
        registration_.set_peers_found(std::move(peers_found));
        net::EventLoop::spawn([this] { watch_.read_initial(); });
        net::EventLoop::spawn([this] { watch_.follow(); });
        net::EventLoop::spawn([this] { registration_.run(); });
        net::EventLoop::spawn([this] { zone_.run(); });
    }

  private:
    StoreLink link_;
    ConfigurationWatch watch_;
    RegistrationKeeper registration_;
    ZoneRegistrations zone_;
};

}  // namespace anisehold::sidecar
