/// @file
/// Reads the configuration from the store, and watches it while this daemon is one of its zone's watchers.
#pragma once

#include <cstdint>

#include "discovery/watch_role.hpp"
#include "membership/peer_directory.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/proof_keeper.hpp"
#include "sidecar/sidecar_context.hpp"
#include "sidecar/store_link.hpp"

namespace anisehold::sidecar {

/// Owns the watch role of this daemon, which is decided by discovery/watch_role. Offers each configuration to
/// the `ConfigurationHolder`, and proofs of it to the `ProofKeeper`.
class ConfigurationWatch {
  public:
    ConfigurationWatch(SidecarContext& context, StoreLink& link, ConfigurationHolder& configuration,
                       membership::PeerDirectory& directory, ProofKeeper& proofs)
        : context_(context),
          link_(link),
          configuration_(configuration),
          directory_(directory),
          proofs_(proofs) {}

    /// Reads the configuration once at the start, so that a restarted fleet can serve immediately. Blocks its
    /// fiber.
    void read_initial();
    /// Reviews the role periodically, and follows the configuration. Blocks its fiber forever.
    void follow();

  private:
    /// Updates the role of this daemon, and logs a change.
    discovery::WatchRole update_role();
    /// Performs one read or watch. Returns the revision to watch from, or 0 if the store didn't respond.
    std::uint64_t read_or_watch(std::uint64_t watch_from);
    std::uint64_t read(store::ReadMode mode);
    std::uint64_t watch(std::uint64_t watch_from);

    SidecarContext& context_;
    StoreLink& link_;
    ConfigurationHolder& configuration_;
    membership::PeerDirectory& directory_;
    ProofKeeper& proofs_;
    discovery::WatchState state_;
};

}  // namespace anisehold::sidecar
