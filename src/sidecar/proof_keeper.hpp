/// @file
/// Maintains this daemon's proof that its configuration is the newest, and passes the proof on to peers.
///
/// Owns the proof. Relies on the store, and on peers' datagrams while the store doesn't respond to this
/// daemon.
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

/// The watchers of each zone together read the configuration's revision from the store about once a second;
/// the other daemons ask a watcher, and read the store themselves when their proof becomes old nevertheless.
/// A pending watch proves nothing: the store may be unresponsive or cut off itself.
class ProofKeeper {
  public:
    using Send = std::function<void(const Endpoint& to, std::string_view bytes)>;

    ProofKeeper(SidecarContext& context, store::CoordinationStore& store, ConfigurationHolder& configuration,
                membership::PeerDirectory& directory)
        : context_(context), store_(store), configuration_(configuration), directory_(directory) {}

    void start(Send send);
    const tenancy::ConfigurationProof& state() const { return state_; }
    /// Maximum age of a proof for keyed requests; nothing if no proof is needed.
    std::optional<Duration> max_age() const;

    /// Records that a read which began at `begun` returned `revision`, which is in force here.
    void on_read(TimePoint begun, std::uint64_t revision);
    void on_request(const tenancy::ProofRequest& request);
    void on_reply(const tenancy::ProofReply& reply);

  private:
    bool is_needed() const;
    /// Reads from the store whenever the proof is too old for this daemon's role.
    void read_periodically();
    /// Reads once; returns false if the store didn't respond.
    bool read_once();
    void request_periodically();
    void request_proof();
    Duration age_or_max(TimePoint now) const;
    /// Age at which this daemon reads the store itself. Drawn again after each read, so that the daemons of a
    /// fleet whose watchers are all refused don't read at the same time.
    Duration own_read_age() const;

    SidecarContext& context_;
    store::CoordinationStore& store_;
    ConfigurationHolder& configuration_;
    membership::PeerDirectory& directory_;
    Send send_;
    tenancy::ConfigurationProof state_;
    /// Latest revision of the configuration in force that the store returned.
    std::uint64_t read_revision_ = 0;
    double read_spread_ = 0;  ///< Random position in [0, 1) within the range of this daemon's read age.
    bool was_proven_ = true;  ///< Last logged state.
};

}  // namespace anisehold::sidecar
