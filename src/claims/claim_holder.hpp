/// @file
/// One holder's part in making a non-repeatable request run at most once. Owns the grants that it made or
/// took over; relies on the holder view for its keys, and on the claimants' own random numbers to tell them
/// apart.
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

/// Grants each key at most once in the memory window. Grants only while it serves an epoch: after it has
/// learned what the holders of the epoch before granted, or once those are gone and forgotten. Nothing
/// here depends on a lease: a paused holder grants only what it hasn't granted. Pure.
class ClaimHolder {
  public:
    /// `abstains` is switched off only in the lab.
    ClaimHolder(Holder self, Duration window, bool abstains = true);

    /// Takes a newer view; an older or equal one is ignored. Granting stops until the view is served.
    void install_view(const HolderView& view);
    /// Holders of the previous view that still have to be asked.
    std::vector<Holder> sync_sources() const;
    /// The request to send to those.
    ClaimSyncRequest sync_request() const;
    void on_sync_reply(TimePoint now, const std::string& from, const ClaimSyncReply& reply);
    /// Drops claims older than the window. `gone` are processes that are known to have ended, such as one
    /// that another process with the same id has replaced (not merely unreachable ones). Once such a process
    /// has been gone for a whole window, all that it granted is forgotten anyway, and it is no longer missed.
    void tick(TimePoint now, const std::vector<Holder>& gone);

    ClaimReply handle(TimePoint now, const ClaimRequest& request);
    void handle(const ClaimUpdate& update);
    ClaimSyncReply handle(TimePoint now, const ClaimSyncRequest& request);

    bool serving() const { return serving_; }
    /// Whether it grants claims under this epoch.
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
    std::uint64_t sealed_epoch_ = 0;  // Grants under this epoch and older ones have ended.
    std::set<std::uint64_t> served_epochs_;
    std::vector<Holder> missing_;  // Of the previous view: not yet heard from.
    std::map<std::pair<std::string, std::uint64_t>, TimePoint> gone_since_;  // By id and boot id.
    /// A key has several claims only where holders of the old view knew of different ones: at most one of
    /// them won, and which isn't known here.
    std::unordered_map<std::string, std::vector<Claim>> claims_;
};

}  // namespace anisehold::claims
