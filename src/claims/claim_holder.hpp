/// @file
/// One holder's part in making a non-repeatable request run at most once. Owns the grants that the holder
/// made or took over; relies on the holder view for its keys, and on the claimants' random numbers to
/// distinguish the claimants.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "claims/claim_types.hpp"
#include "claims/holder_view.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::claims {

/// Grants each key at most once within the claim window. A holder grants only while it serves an epoch: after
/// it has learned what the holders of the previous epoch granted, or once those holders are gone and their
/// grants have expired. Nothing depends on a lease: a holder that was paused grants only keys that it has not
/// granted. Pure.
class ClaimHolder {
  public:
    /// `abstains` is disabled only in the lab.
    ClaimHolder(Holder self, Duration window, bool abstains = true);

    /// Installs a newer view; an older or equal one is ignored. Granting stops until the holder serves the
    /// view.
    void install_view(const HolderView& view);
    /// Returns the holders of the previous view that still have to be asked for their grants.
    std::vector<Holder> sync_sources() const;
    /// Returns the request to send to the sync sources.
    ClaimSyncRequest sync_request() const;
    void on_sync_reply(TimePoint now, const std::string& from, const ClaimSyncReply& reply);
    /// Drops claims older than the window. `gone`: processes that are known to have ended (not merely
    /// unreachable ones), for example because another process with the same id has replaced them. Once such a
    /// process has been gone for a whole window, all its grants have expired, so its sync reply is no longer
    /// needed.
    void tick(TimePoint now, const std::vector<Holder>& gone);

    ClaimReply handle(TimePoint now, const ClaimRequest& request);
    void handle(const ClaimUpdate& update);
    ClaimSyncReply handle(TimePoint now, const ClaimSyncRequest& request);

    bool serving() const { return serving_; }
    /// Whether this holder grants claims under `epoch`.
    bool serves(std::uint64_t epoch) const { return serving_ && view_.epoch == epoch; }
    const HolderView& view() const { return view_; }
    std::size_t size() const { return claims_.size(); }

  private:
    struct Claim {
        ClaimRequest request;
        ClaimState state = ClaimState::kInProgress;
        TimePoint granted_at;
    };

    void try_to_serve();
    bool is_holder() const;

    Holder self_;
    Duration window_;
    bool abstains_;
    HolderView view_;
    bool serving_ = false;
    std::uint64_t sealed_epoch_ = 0;  // This holder grants nothing more under this epoch or older ones.
    std::set<std::uint64_t> served_epochs_;
    std::vector<Holder> missing_;  // Holders of the previous view that have not sent a complete sync reply.
    std::map<std::pair<std::string, std::uint64_t>, TimePoint> gone_since_;  // Keyed by id and boot id.
    /// A key has several claims only if holders of the old view knew of different ones: at most one of them
    /// won, and this holder does not know which.
    std::unordered_map<std::string, std::vector<Claim>> claims_;
};

}  // namespace anisehold::claims
