#include "daemon/claim_service.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "net/fiber_event.hpp"
#include "observability/events.hpp"
#include "routing/rendezvous.hpp"

namespace anisehold::daemon {
namespace {

using claims::ClaimReply;
using claims::ClaimResult;
using claims::Holder;
using observability::Event;
using observability::log_event;

constexpr milliseconds kAskTimeout{300};
constexpr int kMostRounds = 6;
constexpr milliseconds kRoundPause{20};
constexpr milliseconds kTellTimeout{500};
constexpr int kMostTells = 20;
constexpr milliseconds kTellPause{500};
constexpr milliseconds kHolderPeriod{100};
constexpr seconds kSyncTimeout{5};
constexpr milliseconds kKeeperPeriod{100};
constexpr std::size_t kHoldersPerZone = 3;
/// A wish for another view must have lasted this long before it is proposed, unless a planned stop is all
/// that it comes from.
constexpr seconds kViewHysteresis{1};

std::vector<Holder> as_holders(const std::vector<membership::MemberRecord>& records) {
    std::vector<Holder> holders;
    holders.reserve(records.size());
    for (const auto& record : records) {
        holders.push_back({record.info.id, record.info.boot_id, record.info.zone});
    }
    return holders;
}

}  // namespace

/// One round of asking a key's holders; outlives the claimant's wait for late answers.
struct ClaimService::Round {
    Round(claims::ClaimRequest request, std::size_t holders) : request(std::move(request)), tally(holders) {}

    claims::ClaimRequest request;
    claims::ClaimTally tally;
    net::FiberEvent decided;
};

ClaimService::ClaimService(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                           DocumentService& documents)
    : context_(context),
      peers_(peers),
      membership_(membership),
      documents_(documents),
      holder_({context.self.id, context.self.boot_id, context.self.zone},
              milliseconds(context.settings.claims_window_ms),
              context.has(config::Mechanism::kClaimAbstention)),
      answers_(milliseconds(context.settings.claims_window_ms)) {}

void ClaimService::start() {
    documents_.set_holder_view_listener([this](const claims::HolderView& view) {
        holder_.install_view(view);
        report_serving();
    });
    net::EventLoop::spawn([this] { run_holder(); });
    net::EventLoop::spawn([this] { run_view_keeper(); });
}

ClaimOutcome ClaimService::claim(const std::string& key, std::uint64_t fingerprint, TimePoint deadline) {
    ClaimOutcome outcome;
    for (int round = 0; round < kMostRounds; ++round) {
        outcome = claim_once(key, fingerprint, deadline);
        const bool again = outcome.result == ClaimResult::kUnavailable &&
                           TimePoint::clock::now() + kRoundPause * (round + 1) < deadline;
        if (!again) {
            break;
        }
        boost::this_fiber::sleep_for(context_.jittered(kRoundPause * (round + 1)));
    }
    return outcome;
}

ClaimOutcome ClaimService::claim_once(const std::string& key, std::uint64_t fingerprint, TimePoint deadline) {
    const auto& view = documents_.holder_view();
    const auto holders = claims::holders_of_key(view.holders, key);
    claims::ClaimRequest request{view.epoch,           key, context_.random(), fingerprint, context_.self.id,
                                 context_.self.boot_id};
    ClaimOutcome outcome;
    outcome.key = key;
    outcome.claimant = request.claimant;
    if (holders.empty()) {
        return outcome;
    }
    const auto round = std::make_shared<Round>(request, holders.size());
    for (const auto& holder : holders) {
        ask_holder(round, holder);
    }
    round->decided.wait_until(std::min(deadline, TimePoint::clock::now() + kAskTimeout));
    outcome.result = round->tally.result();
    outcome.standing = round->tally.standing();
    if (outcome.result == ClaimResult::kPending) {
        outcome.result = ClaimResult::kUnavailable;
    }
    if (outcome.result != ClaimResult::kWon) {
        // This claimant will never run; whoever granted it may grant another.
        finish(outcome, claims::ClaimEnd::kReleased);
    }
    return outcome;
}

void ClaimService::ask_holder(const std::shared_ptr<Round>& round, const Holder& holder) {
    const auto take = [round](const std::optional<ClaimReply>& reply) {
        if (reply) {
            round->tally.on_reply(*reply);
        } else {
            round->tally.on_no_reply();
        }
        if (round->tally.result() != ClaimResult::kPending) {
            round->decided.set();
        }
    };
    if (holder.id == context_.self.id && holder.boot_id == context_.self.boot_id) {
        take(handle(round->request));
        return;
    }
    const auto address = address_of(holder);
    if (!address) {
        take(std::nullopt);
        return;
    }
    net::EventLoop::spawn([this, round, take, address = *address] {
        take(peers_.ask<ClaimReply>(address, round->request, kAskTimeout));
    });
}

void ClaimService::finish(const ClaimOutcome& won, claims::ClaimEnd end) {
    const claims::ClaimUpdate update{won.key, won.claimant, end};
    for (const auto& holder : claims::holders_of_key(documents_.holder_view().holders, won.key)) {
        if (holder.id == context_.self.id) {
            handle(update);
        } else {
            net::EventLoop::spawn([this, holder, update] { tell_holder(holder, update); });
        }
    }
}

void ClaimService::tell_holder(const Holder& holder, const claims::ClaimUpdate& update) {
    for (int attempt = 0; attempt < kMostTells; ++attempt) {
        const auto address = address_of(holder);
        if (address && peers_.ask<Acknowledged>(*address, update, kTellTimeout)) {
            return;
        }
        boost::this_fiber::sleep_for(kTellPause);
    }
}

bool ClaimService::coordinator_is_there(const ClaimReply& standing) const {
    const auto* record = membership_.find(standing.coordinator);
    return record != nullptr && record->info.boot_id == standing.coordinator_boot &&
           record->state != membership::MemberState::kDead && record->state != membership::MemberState::kLeft;
}

void ClaimService::keep_answer(const std::string& key, StoredAnswer answer) {
    answers_.keep(TimePoint::clock::now(), key, std::move(answer));
}

std::optional<StoredAnswer> ClaimService::find_answer(const std::string& key, const ClaimReply& standing) {
    if (standing.coordinator == context_.self.id) {
        return answers_.find(key);
    }
    const auto* record = membership_.find(standing.coordinator);
    if (record == nullptr) {
        return std::nullopt;
    }
    auto reply = peers_.ask<AnswerReply>(record->info.peer, AnswerRequest{key}, kAskTimeout);
    if (!reply || reply->answers.empty()) {
        return std::nullopt;
    }
    return std::move(reply->answers.front());
}

ClaimReply ClaimService::handle(const claims::ClaimRequest& request) {
    return holder_.handle(TimePoint::clock::now(), request);
}

void ClaimService::handle(const claims::ClaimUpdate& update) {
    holder_.handle(update);
}

claims::ClaimSyncReply ClaimService::handle(const claims::ClaimSyncRequest& request) {
    auto reply = holder_.handle(TimePoint::clock::now(), request);
    report_serving();
    return reply;
}

AnswerReply ClaimService::handle(const AnswerRequest& request) const {
    AnswerReply reply;
    if (auto answer = answers_.find(request.key)) {
        reply.answers.push_back(std::move(*answer));
    }
    return reply;
}

std::optional<Endpoint> ClaimService::address_of(const Holder& holder) const {
    const auto* record = membership_.find(holder.id);
    if (record == nullptr || record->info.boot_id != holder.boot_id) {
        return std::nullopt;
    }
    return record->info.peer;
}

void ClaimService::run_holder() {
    while (true) {
        boost::this_fiber::sleep_for(kHolderPeriod);
        holder_.tick(TimePoint::clock::now(), gone_holders());
        for (const auto& source : holder_.sync_sources()) {
            sync_with(source);
        }
        report_serving();
    }
}

void ClaimService::sync_with(const Holder& source) {
    const auto address = address_of(source);
    if (!address) {
        return;
    }
    const auto request = holder_.sync_request();
    const auto reply = peers_.ask<claims::ClaimSyncReply>(*address, request, kSyncTimeout);
    if (reply && request.new_epoch == holder_.view().epoch) {
        holder_.on_sync_reply(TimePoint::clock::now(), source.id, *reply);
    }
}

bool ClaimService::is_gone(const Holder& holder) const {
    const auto* record = membership_.find(holder.id);
    const bool replaced = record != nullptr && record->info.boot_id != holder.boot_id;
    return replaced || (record != nullptr && record->state == membership::MemberState::kLeft);
}

std::vector<Holder> ClaimService::gone_holders() const {
    std::vector<Holder> gone;
    for (const auto& holder : holder_.view().previous) {
        if (is_gone(holder)) {
            gone.push_back(holder);
        }
    }
    return gone;
}

void ClaimService::report_serving() {
    const auto epoch = holder_.view().epoch;
    if (holder_.serving() == was_serving_ && epoch == reported_epoch_) {
        return;
    }
    was_serving_ = holder_.serving();
    reported_epoch_ = epoch;
    log_event(was_serving_ ? Event::kClaimsServing : Event::kClaimsAbstaining,
              {{"epoch", std::to_string(epoch)}, {"claims", std::to_string(holder_.size())}});
}

bool ClaimService::is_view_keeper() const {
    std::vector<std::string> ids;
    for (const auto& record : membership_.working_members()) {
        ids.push_back(record.info.id);
    }
    const auto order = routing::rendezvous_order(ids, "holder-view-keeper");
    return !order.empty() && ids[order.front()] == context_.self.id;
}

/// Whether the wished view differs from the present one only by members that announced their stop.
bool ClaimService::is_planned(const std::vector<Holder>& wished) const {
    const auto& present = documents_.holder_view().holders;
    const auto is_new = [&](const Holder& holder) {
        return std::find(present.begin(), present.end(), holder) == present.end();
    };
    const auto left_unplanned = [&](const Holder& holder) {
        const bool stays = std::find(wished.begin(), wished.end(), holder) != wished.end();
        const auto* record = membership_.find(holder.id);
        const bool announced = record != nullptr && record->info.boot_id == holder.boot_id &&
                               (record->state == membership::MemberState::kLeaving ||
                                record->state == membership::MemberState::kLeft);
        return !stays && !announced;
    };
    return std::none_of(wished.begin(), wished.end(), is_new) &&
           std::none_of(present.begin(), present.end(), left_unplanned);
}

bool ClaimService::handed_over() {
    const auto& holders = documents_.holder_view().holders;
    const bool still_holder = std::any_of(holders.begin(), holders.end(), [&](const Holder& holder) {
        return holder.id == context_.self.id && holder.boot_id == context_.self.boot_id;
    });
    return !still_holder && present_view_is_covered();
}

void ClaimService::run_view_keeper() {
    constexpr auto no_wish = TimePoint::max();
    TimePoint wished_since = no_wish;
    std::uint64_t seen_version = 0;
    std::uint64_t seen_epoch = 0;
    while (true) {
        boost::this_fiber::sleep_for(kKeeperPeriod);
        const auto& view = documents_.holder_view();
        const bool changed = membership_.version() != seen_version || view.epoch != seen_epoch;
        if (!changed && wished_since == no_wish) {
            continue;
        }
        seen_version = membership_.version();
        seen_epoch = view.epoch;
        const auto working = as_holders(membership_.working_members());
        const auto wished = claims::choose_holders(view.holders, working, kHoldersPerZone);
        const bool differs = wished != view.holders && !wished.empty();
        if (differs && !is_view_keeper()) {
            // Looked at again, since the keeper may fail without any change here.
            seen_version = 0;
        }
        if (!differs || !is_view_keeper() || context_.settings.platform_stores.empty()) {
            wished_since = no_wish;
            continue;
        }
        const auto now = TimePoint::clock::now();
        wished_since = std::min(wished_since, now);
        if (now - wished_since >= kViewHysteresis || is_planned(wished)) {
            wished_since = no_wish;
            propose_view(wished);
        }
    }
}

claims::ClaimStatusReply ClaimService::handle(const claims::ClaimStatusRequest& request) const {
    return {holder_.serving() && holder_.view().epoch == request.epoch};
}

bool ClaimService::serves(const Holder& holder, std::uint64_t epoch) {
    if (holder.id == context_.self.id && holder.boot_id == context_.self.boot_id) {
        return handle(claims::ClaimStatusRequest{epoch}).serving;
    }
    const auto address = address_of(holder);
    if (!address) {
        return false;
    }
    const auto reply =
        peers_.ask<claims::ClaimStatusReply>(*address, claims::ClaimStatusRequest{epoch}, kAskTimeout);
    return reply && reply->serving;
}

/// The next view can only take over from holders that serve the present one, or whose processes are gone.
/// Changing the view in a minority part of a cut fleet would leave nobody to take over from.
bool ClaimService::present_view_is_covered() {
    const auto view = documents_.holder_view();
    std::vector<Holder> missing;
    for (const auto& holder : view.holders) {
        if (!is_gone(holder) && !serves(holder, view.epoch)) {
            missing.push_back(holder);
        }
    }
    return view.holders.empty() || claims::covers_all_grants(view.holders, missing);
}

void ClaimService::propose_view(const std::vector<Holder>& holders) {
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
    if (swap.outcome == store::SwapOutcome::kDone) {
        log_event(Event::kHolderViewChanged,
                  {{"epoch", std::to_string(next.epoch)}, {"holders", std::to_string(holders.size())}});
        documents_.offer({DocumentKind::kHolderView, swap.revision, text}, "own change");
    }
}

}  // namespace anisehold::daemon
