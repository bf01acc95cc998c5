/// @file
/// Keeps this daemon's proof that its configuration is the newest, and passes it on to peers.
///
/// Owns the proof. Relies on the store, and on peers' datagrams while the store is silent to this daemon.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "membership/peer_directory.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/sidecar_context.hpp"
#include "store/coordination_store.hpp"
#include "tenancy/configuration_proof.hpp"
#include "tenancy/tenancy_messages.hpp"

namespace anisehold::sidecar {

/// The watchers of each zone read the configuration's revision from the store about once a second between
/// them; the others ask a watcher, and read themselves when their proof grows old all the same. A waiting
/// watch proves nothing: the store may have fallen silent, or hear nothing itself.
class ProofKeeper {
  public:
    using Send = std::function<void(const Endpoint& to, std::string_view bytes)>;

    ProofKeeper(SidecarContext& context, store::CoordinationStore& store, ConfigurationHolder& configuration,
                membership::PeerDirectory& directory)
        : context_(context), store_(store), configuration_(configuration), directory_(directory) {}

    void start(Send send);
    const tenancy::ConfigurationProof& state() const { return state_; }
    /// How old a proof may be for keyed requests; nothing where none is needed.
    std::optional<Duration> longest_age() const;

    /// A read of the configuration that began at `begun` gave `revision`, which is in force here.
    void on_read(TimePoint begun, std::uint64_t revision);
    void on_request(const tenancy::ProofRequest& request);
    void on_reply(const tenancy::ProofReply& reply);

  private:
    bool is_needed() const;
    /// Reads from the store whenever the proof is too old for this daemon's part.
    void read_periodically();
    /// Reads once; false if the store didn't answer.
    bool read_once();
    void request_periodically();
    void request_proof();
    Duration age_or_longest(TimePoint now) const;
    /// Age at which this daemon reads itself. Drawn anew after each read, so that a fleet whose watchers are
    /// all turned away doesn't read all at once.
    Duration own_read_age() const;

    SidecarContext& context_;
    store::CoordinationStore& store_;
    ConfigurationHolder& configuration_;
    membership::PeerDirectory& directory_;
    Send send_;
    tenancy::ConfigurationProof state_;
    std::uint64_t read_revision_ = 0;  ///< Of the configuration in force, as the store gave it last.
    double patience_ = 0;              ///< In [0, 1): where in its range this daemon's own age lies.
    bool was_proven_ = true;           ///< For the log.
};

}  // namespace anisehold::sidecar
