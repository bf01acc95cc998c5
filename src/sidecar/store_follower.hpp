/// @file
/// What the sidecar does with the store: registers itself, finds its peers, follows the configuration.
#pragma once

#include <functional>
#include <string>

#include "membership/peer_directory.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/sidecar_context.hpp"
#include "store/coordination_store.hpp"

namespace anisehold::sidecar {

/// Two fibers: one follows the configuration, one keeps the registration.
class StoreFollower {
  public:
    using PeersFound = std::function<void()>;

    StoreFollower(SidecarContext& context, store::CoordinationStore& store,
                  ConfigurationHolder& configuration, membership::PeerDirectory& directory)
        : context_(context), store_(store), configuration_(configuration), directory_(directory) {}

    /// Starts the fibers; `peers_found` is called after each list of peers was read.
    void start(PeersFound peers_found);
    /// Whether the list of peers was read once.
    bool has_listed() const { return has_listed_; }

  private:
    void follow_configuration();
    /// Reads the configuration whole; the revision to watch from, or 0 if the store gave no answer.
    std::uint64_t read_configuration();
    void keep_registered();
    bool register_self();
    bool list_peers();
    /// Logs a change between reachable and not, and returns whether the call was served.
    bool note(store::CallOutcome outcome, const char* purpose);
    void pause(unsigned failures);

    SidecarContext& context_;
    store::CoordinationStore& store_;
    ConfigurationHolder& configuration_;
    membership::PeerDirectory& directory_;
    PeersFound peers_found_;
    std::uint64_t lease_ = 0;
    bool has_listed_ = false;
    bool reachable_ = true;
};

}  // namespace anisehold::sidecar
