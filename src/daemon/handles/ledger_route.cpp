#include "daemon/handles/ledger_route.hpp"

#include <algorithm>

#include "protocol/retry_after.hpp"

namespace anisehold::daemon {
namespace {

using retry::DrawVerdict;

/// Timeout of a request to the daemon that has the home ledger.
constexpr milliseconds kPeerTimeout{500};

std::optional<CallResult> refusal_for(DrawVerdict verdict) {
    switch (verdict) {
        case DrawVerdict::kFirst:
        case DrawVerdict::kRetry:
            return std::nullopt;
        case DrawVerdict::kExhausted:
            return CallResult::failure(ErrorKind::kRetriesExhausted, retry_after::kRetriesExhausted);
        case DrawVerdict::kNotRetryable:
            return CallResult::failure(ErrorKind::kOutcomeUnknown);
        case DrawVerdict::kEnded: {
            auto result = CallResult::failure(ErrorKind::kCancelled);
            result.execution = Execution::kNotRun;
            return result;
        }
        case DrawVerdict::kUnknownCall:
            return CallResult::failure(ErrorKind::kHomeUnreachable, retry_after::kHomeUnreachable);
    }
    return std::nullopt;
}

}  // namespace

CallResult LedgerRoute::route(Call& call) {
    if (!context_.has(config::Mechanism::kRetryEscrow)) {
        call.context.retry_allowance = call.route.row.retries;
        return next_.route(call);
    }
    const auto reply = draw(call);
    const auto verdict = reply ? reply->verdict : DrawVerdict::kUnknownCall;
    if (auto refused = refusal_for(verdict)) {
        return std::move(*refused);
    }
    call.context.retry_allowance = reply->lent;
    call.deadline = std::min(call.deadline, call.received + milliseconds(reply->remaining_ms));
    call.root_started = call.received - milliseconds(reply->root_age_ms);
    context_.decisions.add(call.context.root_id, call.context.call_id,
                           observability::DecisionStep::kAccounted,
                           "allowance " + std::to_string(reply->lent));
    auto result = next_.route(call);

    const auto elapsed = TimePoint::clock::now() - call.received;
    retry::SettleRequest settlement;
    settlement.call_id = call.parent->call_id;
    settlement.identity = call.identity;
    settlement.loan_id = reply->loan_id;
    settlement.used = result.retries_used;
    settlement.overloaded_service = result.overloaded_service;
    settlement.not_run = !result.response && result.execution == Execution::kNotRun;
    settlement.duration_us =
        static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(elapsed).count());
    settle(call, settlement);
    return result;
}

std::optional<retry::DrawReply> LedgerRoute::draw(const Call& call) {
    const retry::DrawRequest request{call.parent->call_id, call.identity, call.route.row.repeatable};
    if (call.parent->home == context_.self.id) {
        return gates_.handle(request);
    }
    const auto* home = membership_.find(call.parent->home);
    if (home == nullptr) {
        return std::nullopt;
    }
    return peers_.ask<retry::DrawReply>(home->info.peer, request, kPeerTimeout);
}

void LedgerRoute::settle(const Call& call, const retry::SettleRequest& request) {
    if (call.parent->home == context_.self.id) {
        gates_.handle(request);
        return;
    }
    const auto* home = membership_.find(call.parent->home);
    if (home != nullptr) {
        // Settles before the response is returned, because the calling layer's own retry must find the loan
        // returned.
        peers_.ask<daemon::Acknowledged>(home->info.peer, request, kPeerTimeout);
    }
}

}  // namespace anisehold::daemon
