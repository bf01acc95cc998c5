#include "daemon/handles/claim_route.hpp"

#include "protocol/message_digest.hpp"
#include "protocol/retry_after.hpp"

namespace anisehold::daemon {
namespace {

using claims::ClaimEnd;
using claims::ClaimResult;
using claims::ClaimState;

std::string_view claim_result_name(ClaimResult result) {
    switch (result) {
        case ClaimResult::kPending:
            return "pending";
        case ClaimResult::kWon:
            return "won";
        case ClaimResult::kDuplicate:
            return "duplicate";
        case ClaimResult::kUnavailable:
            return "unavailable";
    }
    return "unavailable";
}

StoredAnswer to_stored(const net::HttpResponse& response) {
    StoredAnswer answer;
    answer.status = response.status;
    answer.body = response.body.prefix;
    for (const auto& field : response.fields) {
        answer.fields.push_back({std::string(field.name), std::string(field.value)});
    }
    return answer;
}

net::HttpResponse from_stored(const StoredAnswer& answer) {
    net::HttpResponse response;
    response.status = answer.status;
    for (const auto& field : answer.fields) {
        response.fields.add(field.name, field.value);
    }
    response.fields.set(header::kReplayed, "true");
    response.body.prefix = answer.body;
    response.body.length = answer.body.size();
    return response;
}

}  // namespace

std::string ClaimRoute::claim_key(const Call& call, std::string_view idempotency_key) const {
    std::string material = call.service;
    material += '\n' + call.request->method;
    material += '\n' + call.request->target;
    material += '\n';
    material += idempotency_key;
    return message_authentication_code(context_.settings.daemon_mesh_key, "claim:" + material);
}

CallResult ClaimRoute::route(Call& call) {
    const bool needs_claim = !call.route.row.repeatable && !call.context.dispatched_at_most_once &&
                             context_.has(config::Mechanism::kClaims);
    if (!needs_claim) {
        return next_.route(call);
    }
    const auto key = call.request->fields.find(header::kIdempotencyKey);
    if (!key || key->empty()) {
        return CallResult::failure(ErrorKind::kKeyRequired);
    }
    const auto outcome = claims_.claim(claim_key(call, *key), call.identity, call.deadline);
    context_.metrics.count_claim(claim_result_name(outcome.result));
    context_.decisions.add(call.context.root_id, call.context.call_id, observability::DecisionStep::kClaimed,
                           std::string(claim_result_name(outcome.result)));
    if (outcome.result == ClaimResult::kDuplicate) {
        return duplicate_result(call, outcome);
    }
    if (outcome.result != ClaimResult::kWon) {
        return CallResult::failure(ErrorKind::kClaimUnavailable, retry_after::kClaimUnavailable);
    }
    return route_claimed(call, outcome);
}

CallResult ClaimRoute::route_claimed(Call& call, const ClaimOutcome& won) {
    call.context.dispatched_at_most_once = true;
    auto result = next_.route(call);
    if (result.response) {
        claims_.finish(won, ClaimEnd::kCompleted);
        if (result.response->body.whole()) {
            claims_.keep_answer(won.key, to_stored(*result.response));
        }
        return result;
    }
    const bool not_run = result.execution == Execution::kNotRun;
    claims_.finish(won, not_run ? ClaimEnd::kReleased : ClaimEnd::kUnknown);
    if (!not_run && result.error != ErrorKind::kCancelled) {
        result.error = ErrorKind::kOutcomeUnknown;
    }
    return result;
}

CallResult ClaimRoute::duplicate_result(const Call& call, const ClaimOutcome& outcome) {
    const auto& standing = outcome.standing;
    if (standing.fingerprint != call.identity) {
        return CallResult::failure(ErrorKind::kKeyConflict);
    }
    if (standing.state == ClaimState::kInProgress) {
        return claims_.is_coordinator_running(standing)
                   ? CallResult::failure(ErrorKind::kDuplicateInProgress, retry_after::kDuplicateInProgress)
                   : CallResult::failure(ErrorKind::kDuplicateUnknown);
    }
    if (standing.state == ClaimState::kUnknown) {
        return CallResult::failure(ErrorKind::kDuplicateUnknown);
    }
    const auto answer = claims_.find_answer(outcome.key, standing);
    if (!answer) {
        return CallResult::failure(ErrorKind::kDuplicateCompleted);
    }
    CallResult result;
    result.response = from_stored(*answer);
    return result;
}

}  // namespace anisehold::daemon
