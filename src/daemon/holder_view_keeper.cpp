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

/// Time between two looks at the members.
constexpr milliseconds kKeeperPeriod{100};
/// How long a holder is waited for when it is asked whether it serves the view.
constexpr milliseconds kStatusTimeout{300};
/// Holders in each zone; each key has `claims::kHoldersPerKey` of all of them.
constexpr std::size_t kHoldersPerZone = 3;
/// A wish for another view must have lasted this long before it is proposed, unless a planned stop is all
/// that it comes from.
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
    if (!changed && !review.wished_since) {
        return;
    }
    review.seen_version = membership_.version();
    review.seen_epoch = view.epoch;
    const auto working = as_holders(membership_.working_members());
    const auto wished = claims::choose_holders(view.holders, working, kHoldersPerZone);
    const bool differs = wished != view.holders && !wished.empty();
    const bool is_keeper = membership_.is_among_first(1, "holder-view-keeper");
    if (differs && !is_keeper) {
        // Looked at again, since the keeper may fail without any change here.
        review.seen_version = 0;
    }
    if (!differs || !is_keeper || context_.settings.platform_stores.empty()) {
        review.wished_since.reset();
        return;
    }
    const auto now = TimePoint::clock::now();
    review.wished_since = review.wished_since.value_or(now);
    if (now - *review.wished_since >= kViewHysteresis || is_planned(wished)) {
        review.wished_since.reset();
        propose(wished);
    }
}

/// Whether the wished view differs from the present one only by members that announced their stop.
bool HolderViewKeeper::is_planned(const std::vector<Holder>& wished) const {
    const auto& present = documents_.holder_view().holders;
    const auto is_new = [&](const Holder& holder) {
        return std::find(present.begin(), present.end(), holder) == present.end();
    };
    const auto left_unplanned = [&](const Holder& holder) {
        const bool stays = std::find(wished.begin(), wished.end(), holder) != wished.end();
        return !stays && !has_announced_stop(membership_, holder);
    };
    return std::none_of(wished.begin(), wished.end(), is_new) &&
           std::none_of(present.begin(), present.end(), left_unplanned);
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

/// Changing the view in a minority part of a cut fleet would leave nobody to take over from.
bool HolderViewKeeper::present_view_is_covered() {
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
    // The view may change while its holders are asked; the swap must be against the one they were asked
    // about.
    const auto revision = documents_.holder_view_revision();
    const auto current = documents_.holder_view();
    if (!present_view_is_covered()) {
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
