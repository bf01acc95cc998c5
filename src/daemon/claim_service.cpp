#include "daemon/claim_service.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "daemon/holder_members.hpp"
#include "net/event_loop.hpp"
#include "net/fiber_event.hpp"
#include "observability/events.hpp"

namespace anisehold::daemon {
namespace {

using claims::ClaimReply;
using claims::ClaimResult;
using claims::Holder;
using observability::Event;
using observability::log_event;

/// Timeout of one round of claim requests to a key's holders, and of fetching a stored response from the
/// coordinator of a duplicate.
constexpr milliseconds kClaimReplyTimeout{300};
/// Maximum number of claim rounds while no majority of the holders answers.
constexpr int kMaxClaimRounds = 6;
/// Pause after the first round. The pause grows linearly with the round number and is jittered.
constexpr milliseconds kRoundPause{20};
/// Timeout of one claim end sent to a holder, number of attempts, and pause between two attempts.
constexpr milliseconds kUpdateTimeout{500};
constexpr int kMaxUpdateAttempts = 20;
constexpr milliseconds kUpdatePause{500};
/// Interval at which this daemon, as a holder, expires claims and synchronizes grants from previous holders.
constexpr milliseconds kHolderPeriod{100};
/// Timeout for receiving all grants of a holder: a message of up to 8 MB.
constexpr seconds kSyncTimeout{5};

}  // namespace

/// One round of claim requests to a key's holders. The state outlives the claimant's wait, because replies
/// may arrive late.
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
      answers_(milliseconds(context.settings.claims_window_ms)),
      view_keeper_(context, peers, membership, documents, holder_) {}

void ClaimService::start() {
    documents_.set_holder_view_listener([this](const claims::HolderView& view) {
        holder_.install_view(view);
        report_serving();
    });
    net::EventLoop::spawn([this] { run_holder(); });
    net::EventLoop::spawn([this] { view_keeper_.run(); });
}

ClaimOutcome ClaimService::claim(const std::string& key, std::uint64_t fingerprint, TimePoint deadline) {
    ClaimOutcome outcome;
    for (int round = 0; round < kMaxClaimRounds; ++round) {
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
    round->decided.wait_until(std::min(deadline, TimePoint::clock::now() + kClaimReplyTimeout));
    outcome.result = round->tally.result();
    outcome.standing = round->tally.standing();
    if (outcome.result == ClaimResult::kPending) {
        outcome.result = ClaimResult::kUnavailable;
    }
    if (outcome.result != ClaimResult::kWon) {
        // The claimant won't run the request, so holders that granted the claim may grant another claim.
        finish(outcome, claims::ClaimEnd::kReleased);
    }
    return outcome;
}

void ClaimService::ask_holder(const std::shared_ptr<Round>& round, const Holder& holder) {
    const auto handle_reply = [round](const std::optional<ClaimReply>& reply) {
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
        handle_reply(handle(round->request));
        return;
    }
    const auto address = address_of(membership_, holder);
    if (!address) {
        handle_reply(std::nullopt);
        return;
    }
    net::EventLoop::spawn([this, round, handle_reply, address = *address] {
        handle_reply(peers_.ask<ClaimReply>(address, round->request, kClaimReplyTimeout));
    });
}

void ClaimService::finish(const ClaimOutcome& won, claims::ClaimEnd end) {
    const claims::ClaimUpdate update{won.key, won.claimant, end};
    for (const auto& holder : claims::holders_of_key(documents_.holder_view().holders, won.key)) {
        if (holder.id == context_.self.id) {
            handle(update);
        } else {
            net::EventLoop::spawn([this, holder, update] { send_update(holder, update); });
        }
    }
}

void ClaimService::send_update(const Holder& holder, const claims::ClaimUpdate& update) {
    for (int attempt = 0; attempt < kMaxUpdateAttempts; ++attempt) {
        const auto address = address_of(membership_, holder);
        if (address && peers_.ask<Acknowledged>(*address, update, kUpdateTimeout)) {
            return;
        }
        boost::this_fiber::sleep_for(kUpdatePause);
    }
    // An unreachable holder misses the end of every claim, so these log lines are rate limited.
    observability::log_routine(Event::kClaimEndUndelivered,
                               {{"holder", holder.id}, {"end", std::string(claims::end_name(update.end))}});
}

bool ClaimService::is_coordinator_running(const ClaimReply& standing) const {
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
    auto reply = peers_.ask<AnswerReply>(record->info.peer, AnswerRequest{key}, kClaimReplyTimeout);
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

void ClaimService::run_holder() {
    while (true) {
        boost::this_fiber::sleep_for(kHolderPeriod);
        holder_.tick(TimePoint::clock::now(), ended_holders());
        for (const auto& source : holder_.sync_sources()) {
            sync_with(source);
        }
        report_serving();
    }
}

void ClaimService::sync_with(const Holder& source) {
    const auto address = address_of(membership_, source);
    if (!address) {
        return;
    }
    const auto request = holder_.sync_request();
    const auto reply = peers_.ask<claims::ClaimSyncReply>(*address, request, kSyncTimeout);
    if (reply && request.new_epoch == holder_.view().epoch) {
        holder_.on_sync_reply(TimePoint::clock::now(), source.id, *reply);
    }
}

std::vector<Holder> ClaimService::ended_holders() const {
    std::vector<Holder> ended;
    for (const auto& holder : holder_.view().previous) {
        if (has_ended(membership_, holder)) {
            ended.push_back(holder);
        }
    }
    return ended;
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

bool ClaimService::handed_over() {
    const auto& holders = documents_.holder_view().holders;
    const bool still_holder = std::any_of(holders.begin(), holders.end(), [&](const Holder& holder) {
        return holder.id == context_.self.id && holder.boot_id == context_.self.boot_id;
    });
    return !still_holder && view_keeper_.current_view_is_covered();
}

claims::ClaimStatusReply ClaimService::handle(const claims::ClaimStatusRequest& request) const {
    return {holder_.serves(request.epoch)};
}

}  // namespace anisehold::daemon
