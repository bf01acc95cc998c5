/// @file
/// What the sidecar does with the store: four fibers, each with a job of its own.
#pragma once

#include "membership/peer_directory.hpp"
#include "sidecar/configuration_watch.hpp"
#include "sidecar/registration_keeper.hpp"
#include "sidecar/sidecar_context.hpp"
#include "sidecar/store_link.hpp"
#include "sidecar/zone_registrations.hpp"

namespace anisehold::sidecar {

/// Owns the parts and starts their fibers: the first read of the configuration and its watch
/// (`ConfigurationWatch`), this daemon's registration (`RegistrationKeeper`), those of its zone
/// (`ZoneRegistrations`).
class StoreFollower {
  public:
    StoreFollower(SidecarContext& context, store::CoordinationStore& store,
                  ConfigurationHolder& configuration, membership::PeerDirectory& directory,
                  ProofKeeper& proofs, CrashExchange& crashes)
        : link_(context, store),
          watch_(context, link_, configuration, directory, proofs),
          registration_(context, link_, directory, crashes),
          zone_(context, link_, directory, crashes) {}

    /// `peers_found` is called after each list of peers was read.
    void start(RegistrationKeeper::PeersFound peers_found);

  private:
    StoreLink link_;
    ConfigurationWatch watch_;
    RegistrationKeeper registration_;
    ZoneRegistrations zone_;
};

}  // namespace anisehold::sidecar
