#include "claims/claim_holder.hpp"

#include <algorithm>

namespace anisehold::claims {

ClaimHolder::ClaimHolder(Holder self, Duration window, bool abstains)
    : self_(std::move(self)), window_(window), abstains_(abstains) {}

void ClaimHolder::install_view(const HolderView& view) {
    if (view.epoch <= view_.epoch) {
        return;
    }
    serving_ = false;
    sealed_epoch_ = std::max(sealed_epoch_, view.epoch - 1);
    view_ = view;
    missing_ = view.previous;
    // This process still knows its own grants under the previous view if it served that view.
    if (served_epochs_.contains(view.epoch - 1)) {
        std::erase(missing_, self_);
    }
    try_to_serve();
}

bool ClaimHolder::is_holder() const {
    return std::find(view_.holders.begin(), view_.holders.end(), self_) != view_.holders.end();
}

void ClaimHolder::try_to_serve() {
    const bool knows_enough = view_.previous.empty() || can_reconstruct_grants(view_.previous, missing_);
    if (!serving_ && is_holder() && sealed_epoch_ < view_.epoch && (knows_enough || !abstains_)) {
        serving_ = true;
        served_epochs_.insert(view_.epoch);
    }
}

std::vector<Holder> ClaimHolder::sync_sources() const {
    if (serving_ || !is_holder()) {
        return {};
    }
    std::vector<Holder> sources = missing_;
    std::erase(sources, self_);
    return sources;
}

ClaimSyncRequest ClaimHolder::sync_request() const {
    return {view_.epoch - 1, view_.epoch, self_.id};
}

void ClaimHolder::on_sync_reply(TimePoint now, const std::string& from, const ClaimSyncReply& reply) {
    for (const auto& entry : reply.entries) {
        auto& claims = claims_[entry.request.key];
        const bool known = std::any_of(claims.begin(), claims.end(), [&](const Claim& claim) {
            return claim.request.claimant == entry.request.claimant;
        });
        if (!known) {
            claims.push_back({entry.request, entry.state, now - milliseconds(entry.age_ms)});
        }
    }
    if (reply.complete) {
        std::erase_if(missing_, [&](const Holder& holder) { return holder.id == from; });
        try_to_serve();
    }
}

void ClaimHolder::tick(TimePoint now, const std::vector<Holder>& gone) {
    for (auto& [key, claims] : claims_) {
        std::erase_if(claims, [&](const Claim& claim) { return now - claim.granted_at >= window_; });
    }
    std::erase_if(claims_, [](const auto& entry) { return entry.second.empty(); });
    for (const auto& holder : gone) {
        gone_since_.try_emplace({holder.id, holder.boot_id}, now);
    }
    std::erase_if(missing_, [&](const Holder& holder) {
        const auto found = gone_since_.find({holder.id, holder.boot_id});
        return found != gone_since_.end() && now - found->second >= window_;
    });
    std::erase_if(gone_since_, [&](const auto& entry) { return now - entry.second >= 2 * window_; });
    try_to_serve();
}

ClaimReply ClaimHolder::handle(TimePoint now, const ClaimRequest& request) {
    ClaimReply reply;
    reply.epoch = view_.epoch;
    if (!serving_ || request.epoch != view_.epoch) {
        return reply;
    }
    auto& claims = claims_[request.key];
    if (claims.empty()) {
        claims.push_back({request, ClaimState::kInProgress, now});
    }
    const Claim& claim = claims.front();
    const bool granted = claims.size() == 1 && claim.request.claimant == request.claimant;
    reply.verdict = granted ? ClaimVerdict::kGranted : ClaimVerdict::kDenied;
    reply.state = claim.state;
    reply.fingerprint = claim.request.fingerprint;
    reply.coordinator = claim.request.coordinator;
    reply.coordinator_boot = claim.request.coordinator_boot;
    return reply;
}

void ClaimHolder::handle(const ClaimUpdate& update) {
    const auto found = claims_.find(update.key);
    if (found == claims_.end()) {
        return;
    }
    auto& claims = found->second;
    const auto is_claimants = [&](const Claim& claim) { return claim.request.claimant == update.claimant; };
    if (update.end == ClaimEnd::kReleased) {
        std::erase_if(claims, is_claimants);
    }
    for (auto& claim : claims) {
        if (is_claimants(claim)) {
            claim.state = update.end == ClaimEnd::kCompleted ? ClaimState::kCompleted : ClaimState::kUnknown;
        }
    }
    if (claims.empty()) {
        claims_.erase(found);
    }
}

ClaimSyncReply ClaimHolder::handle(TimePoint now, const ClaimSyncRequest& request) {
    ClaimSyncReply reply;
    const bool from_the_future = request.old_epoch > view_.epoch;
    if (from_the_future) {
        return reply;
    }
    // From now on this holder grants nothing under the old view, so that the reply stays complete.
    sealed_epoch_ = std::max(sealed_epoch_, request.old_epoch);
    if (view_.epoch <= sealed_epoch_) {
        serving_ = false;
    }
    reply.complete = served_epochs_.contains(request.old_epoch);
    for (const auto& [key, claims] : claims_) {
        for (const auto& claim : claims) {
            const auto age_ms = static_cast<std::uint64_t>(to_milliseconds(now - claim.granted_at));
            reply.entries.push_back({claim.request, claim.state, age_ms});
        }
    }
    return reply;
}

}  // namespace anisehold::claims
