/// @file
/// Updates the holder view in the store when the fleet's members change. One daemon of the fleet, chosen by
/// rendezvous hash, is responsible at a time; a compare-and-swap prevents two concurrent updates. Owns no
/// state beyond its loop; relies on membership, documents (view and store) and this daemon's own claim
/// holder.
#pragma once

#include <optional>
#include <vector>

#include "claims/claim_holder.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/document_service.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"

namespace anisehold::daemon {

/// Proposes new holder views, and checks whether a next view could take over all grants of the current view.
class HolderViewKeeper {
  public:
    HolderViewKeeper(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                     DocumentService& documents, const claims::ClaimHolder& holder);

    /// Checks for changes as long as the daemon runs; call in a separate fiber.
    void run();
    /// Whether enough holders of the current view serve the view, or have ended, for a next view to take over
    /// all grants. Sends a request to each holder; blocks the fiber.
    bool current_view_is_covered();

  private:
    /// State of `run` between two checks.
    struct Review {
        std::optional<TimePoint> wanted_since;  ///< When another view was first wanted, if any.
        std::uint64_t seen_version = 0;         ///< Membership version at the last check.
        std::uint64_t seen_epoch = 0;           ///< Epoch of the holder view at the last check.
    };

    void review(Review& review);
    bool is_planned(const std::vector<claims::Holder>& wanted) const;
    bool serves(const claims::Holder& holder, std::uint64_t epoch);
    void propose(const std::vector<claims::Holder>& holders);

    DaemonContext& context_;
    PeerClient& peers_;
    MembershipService& membership_;
    DocumentService& documents_;
    const claims::ClaimHolder& holder_;
};

}  // namespace anisehold::daemon
