#include "retry/retry_ledger.hpp"

#include <algorithm>
#include <utility>

namespace anisehold::retry {

namespace {

std::uint64_t milliseconds_between(TimePoint from, TimePoint to) {
    return from < to ? static_cast<std::uint64_t>(to_milliseconds(to - from)) : 0;
}

DrawReply refusal(DrawVerdict verdict) {
    DrawReply reply;
    reply.verdict = verdict;
    return reply;
}

}  // namespace

void RetryLedger::open(const std::string& call_id, const LedgerTerms& terms) {
    Ledger ledger;
    ledger.terms = terms;
    ledger.remaining = terms.allowance;
    ledgers_[call_id] = std::move(ledger);
}

void RetryLedger::open_if_absent(const std::string& call_id, const LedgerTerms& terms) {
    if (!ledgers_.contains(call_id)) {
        open(call_id, terms);
    }
}

DrawReply RetryLedger::draw(TimePoint now, const DrawRequest& request) {
    const auto found = ledgers_.find(request.call_id);
    if (found == ledgers_.end()) {
        return refusal(DrawVerdict::kUnknownCall);
    }
    Ledger& ledger = found->second;
    if (ledger.ended) {
        return refusal(DrawVerdict::kEnded);
    }
    const auto [nested, first] = ledger.nested.try_emplace(request.identity);
    if (first) {
        return lend(now, ledger, DrawVerdict::kFirst);
    }
    if (!request.repeatable && nested->second.may_have_run) {
        return refusal(DrawVerdict::kNotRetryable);
    }
    if (ledger.remaining == 0) {
        return refusal(DrawVerdict::kExhausted);
    }
    nested->second.ever_ran = nested->second.ever_ran || nested->second.may_have_run;
    nested->second.may_have_run = true;
    --ledger.remaining;
    return lend(now, ledger, DrawVerdict::kRetry);
}

DrawReply RetryLedger::lend(TimePoint now, Ledger& ledger, DrawVerdict verdict) {
    const auto loan_id = next_loan_id_++;
    // Lends the whole remaining allowance, since a call's nested calls mostly run one after the other.
    const unsigned lent = std::exchange(ledger.remaining, 0);
    ledger.loans[loan_id] = lent;
    return {verdict, lent, loan_id, milliseconds_between(now, ledger.terms.deadline),
            milliseconds_between(ledger.terms.root_started, now)};
}

void RetryLedger::settle(const SettleRequest& request) {
    const auto found = ledgers_.find(request.call_id);
    if (found == ledgers_.end()) {
        return;
    }
    Ledger& ledger = found->second;
    const auto loan = ledger.loans.find(request.loan_id);
    if (loan == ledger.loans.end()) {
        return;
    }
    ledger.remaining += loan->second - std::min(request.used, loan->second);
    ledger.loans.erase(loan);
    if (!request.overloaded_service.empty()) {
        ledger.overloaded_service = request.overloaded_service;
    }
    ledger.nested_time += microseconds(request.duration_us);
    const auto nested = ledger.nested.find(request.identity);
    if (nested != ledger.nested.end()) {
        nested->second.may_have_run = !request.not_run;
    }
    if (request.discard_attempt) {
        ledger.nested.erase(request.identity);
    }
}

LedgerReport RetryLedger::close(TimePoint now, const std::string& call_id) {
    const auto found = ledgers_.find(call_id);
    if (found == ledgers_.end()) {
        return {};
    }
    Ledger& ledger = found->second;
    LedgerReport report;
    report.used = ledger.terms.allowance - ledger.remaining;
    report.overloaded_service = ledger.overloaded_service;
    report.nested_time = ledger.nested_time;
    report.made_calls = !ledger.nested.empty();
    report.nested_ran = std::any_of(ledger.nested.begin(), ledger.nested.end(), [](const auto& entry) {
        return entry.second.may_have_run || entry.second.ever_ran;
    });
    ledger.ended = true;
    ledger.ended_at = now;
    ledger.nested.clear();
    ledger.loans.clear();
    return report;
}

void RetryLedger::expire(TimePoint now) {
    std::erase_if(ledgers_, [&](const auto& entry) {
        const auto over_since = entry.second.ended ? entry.second.ended_at : entry.second.terms.deadline;
        return now - over_since >= kEndedCallRetention;
    });
}

}  // namespace anisehold::retry
