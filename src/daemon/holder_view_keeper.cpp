#include "daemon/holder_view_keeper.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "daemon/holder_members.hpp"
#include "observability/events.hpp"

namespace anisehold::daemon {
namespace {

using claims::Holder;
using observability::Event;
using observability::log_event;

/// Interval between two checks of the members.
constexpr milliseconds kKeeperPeriod{100};
/// Timeout of a request that asks a holder whether it serves the view.
constexpr milliseconds kStatusTimeout{300};
/// Holders per zone; each key is held by `claims::kHoldersPerKey` of all holders.
constexpr std::size_t kHoldersPerZone = 3;
/// How long another view must be wanted before the view is proposed, unless planned stops are the only cause.
constexpr seconds kViewHysteresis{1};

std::string_view outcome_name(store::SwapOutcome outcome) {
    switch (outcome) {
        case store::SwapOutcome::kDone:
            return "done";
        case store::SwapOutcome::kConflict:
            return "lost";
        case store::SwapOutcome::kRefused:
            return "refused";
        case store::SwapOutcome::kUnknown:
            return "unknown";
    }
    return "unknown";
}

}  // namespace

HolderViewKeeper::HolderViewKeeper(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                                   DocumentService& documents, const claims::ClaimHolder& holder)
    : context_(context), peers_(peers), membership_(membership), documents_(documents), holder_(holder) {}

void HolderViewKeeper::run() {
    Review state;
    while (true) {
        boost::this_fiber::sleep_for(kKeeperPeriod);
        review(state);
    }
}

void HolderViewKeeper::review(Review& review) {
    const auto& view = documents_.holder_view();
    const bool changed = membership_.version() != review.seen_version || view.epoch != review.seen_epoch;
    if (!changed && !review.wanted_since) {
        return;
    }
    review.seen_version = membership_.version();
    review.seen_epoch = view.epoch;
    const auto working = as_holders(membership_.working_members());
    const auto wanted = claims::choose_holders(view.holders, working, kHoldersPerZone);
    const bool differs = wanted != view.holders && !wanted.empty();
    const bool is_keeper = membership_.is_among_first(1, "holder-view-keeper");
    if (differs && !is_keeper) {
        // Check again next time: the responsible daemon may fail without any change seen here.
        review.seen_version = 0;
    }
    if (!differs || !is_keeper || context_.settings.platform_stores.empty()) {
        review.wanted_since.reset();
        return;
    }
    const auto now = TimePoint::clock::now();
    review.wanted_since = review.wanted_since.value_or(now);
    if (now - *review.wanted_since >= kViewHysteresis || is_planned(wanted)) {
        review.wanted_since.reset();
        propose(wanted);
    }
}

/// Whether the wanted view differs from the current view only by members that announced a planned stop.
bool HolderViewKeeper::is_planned(const std::vector<Holder>& wanted) const {
    const auto& current_holders = documents_.holder_view().holders;
    const auto is_new = [&](const Holder& holder) {
        return std::find(current_holders.begin(), current_holders.end(), holder) == current_holders.end();
    };
    const auto left_unplanned = [&](const Holder& holder) {
        const bool stays = std::find(wanted.begin(), wanted.end(), holder) != wanted.end();
        return !stays && !has_announced_stop(membership_, holder);
    };
    return std::none_of(wanted.begin(), wanted.end(), is_new) &&
           std::none_of(current_holders.begin(), current_holders.end(), left_unplanned);
}

bool HolderViewKeeper::serves(const Holder& holder, std::uint64_t epoch) {
    if (holder.id == context_.self.id && holder.boot_id == context_.self.boot_id) {
        return holder_.serves(epoch);
    }
    const auto address = address_of(membership_, holder);
    if (!address) {
        return false;
    }
    const auto reply =
        peers_.ask<claims::ClaimStatusReply>(*address, claims::ClaimStatusRequest{epoch}, kStatusTimeout);
    return reply && reply->serving;
}

/// Required before a change of view: after a change in a minority partition of the fleet, the new holders
/// would have nobody to take the grants over from.
bool HolderViewKeeper::current_view_is_covered() {
    const auto view = documents_.holder_view();
    std::vector<Holder> missing;
    for (const auto& holder : view.holders) {
        if (!has_ended(membership_, holder) && !serves(holder, view.epoch)) {
            missing.push_back(holder);
        }
    }
    return view.holders.empty() || claims::can_reconstruct_grants(view.holders, missing);
}

void HolderViewKeeper::propose(const std::vector<Holder>& holders) {
    // The view may change while its holders are asked, so the swap compares with the revision whose holders
    // were asked.
    const auto revision = documents_.holder_view_revision();
    const auto current = documents_.holder_view();
    if (!current_view_is_covered()) {
        return;
    }
    claims::HolderView next;
    next.epoch = current.epoch + 1;
    next.holders = holders;
    next.previous = current.holders;
    const auto text = claims::to_json_text(next);
    const auto swap =
        documents_.store().compare_and_swap(store::kHolderViewKey, revision, {{store::kHolderViewKey, text}});
    if (swap.outcome != store::SwapOutcome::kDone) {
        log_event(Event::kHolderViewNotChanged, {{"epoch", std::to_string(next.epoch)},
                                                 {"outcome", std::string(outcome_name(swap.outcome))}});
        return;
    }
    log_event(Event::kHolderViewChanged,
              {{"epoch", std::to_string(next.epoch)}, {"holders", std::to_string(holders.size())}});
    documents_.offer({DocumentKind::kHolderView, swap.revision, text}, "own change");
}

}  // namespace anisehold::daemon
