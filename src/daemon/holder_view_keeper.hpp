/// @file
/// Changes the holder view in the store when the fleet's members change. One daemon of the fleet, by
/// rendezvous hash, does so at a time; a compare-and-swap keeps two from doing it at once. Owns no state
/// beyond its loop; relies on membership, documents (view and store) and this daemon's own holder.
#pragma once

#include <optional>
#include <vector>

#include "claims/claim_holder.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"

namespace anisehold::daemon {

/// Proposes new holder views, and knows whether the present one can be taken over from.
class HolderViewKeeper {
  public:
    HolderViewKeeper(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                     DocumentService& documents, const claims::ClaimHolder& holder);

    /// Looks for changes as long as the daemon runs; to be called in a fiber of its own.
    void run();
    /// Whether enough holders of the present view serve it, or have ended, for a next view to take over all
    /// grants. Asks them; blocks the fiber.
    bool present_view_is_covered();

  private:
    /// What `run` remembers between two looks.
    struct Review {
        std::optional<TimePoint> wished_since;  ///< Since when another view is wanted; nothing if none is.
        std::uint64_t seen_version = 0;         ///< Of the membership.
        std::uint64_t seen_epoch = 0;           ///< Of the holder view.
    };

    void review(Review& review);
    bool is_keeper() const;
    bool is_planned(const std::vector<claims::Holder>& wished) const;
    bool serves(const claims::Holder& holder, std::uint64_t epoch);
    void propose(const std::vector<claims::Holder>& holders);

    DaemonContext& context_;
    PeerClient& peers_;
    MembershipService& membership_;
    DocumentService& documents_;
    const claims::ClaimHolder& holder_;
};

}  // namespace anisehold::daemon
