#include "daemon/handles/client_ledger_route.hpp"

#include "protocol/retry_after.hpp"

namespace anisehold::daemon {
namespace {

using retry::DrawVerdict;

/// How long the ledger of a client's request is kept so that retries of the request are detected.
constexpr seconds kClientLedgerLifetime{60};

/// Identifies the client's request across its retries; empty if the request carries neither an idempotency
/// key nor a trace id.
std::string client_request_id(const Call& call) {
    if (const auto key = call.request->fields.find(header::kIdempotencyKey)) {
        return "key:" + std::string(*key);
    }
    if (const auto trace_id = trace_id_of(call.request->fields.find(header::kTraceParent).value_or(""))) {
        return "trace:" + *trace_id;
    }
    return {};
}

}  // namespace

CallResult ClientLedgerRoute::route(Call& call) {
    const auto name = client_request_id(call);
    const bool accounted =
        context_.has(config::Mechanism::kRetryEscrow) && call.route.row.repeatable && !name.empty();
    if (!accounted) {
        return next_.route(call);
    }
    gates_.open_client_ledger(name,
                              {call.route.row.retries, call.received + kClientLedgerLifetime, call.received});
    const auto loan = gates_.handle(retry::DrawRequest{name, call.identity, true});
    if (loan.verdict == DrawVerdict::kExhausted) {
        return CallResult::failure(ErrorKind::kRetriesExhausted, retry_after::kRetriesExhausted);
    }
    call.context.retry_allowance = loan.lent;
    auto result = next_.route(call);
    retry::SettleRequest settlement;
    settlement.call_id = name;
    settlement.identity = call.identity;
    settlement.loan_id = loan.loan_id;
    settlement.used = result.retries_used;
    // The request of a refused client hasn't run, so the client's next request still counts as a first
    // attempt.
    settlement.discard_attempt = !result.response && result.execution == Execution::kNotRun;
    gates_.handle(settlement);
    return result;
}

}  // namespace anisehold::daemon
