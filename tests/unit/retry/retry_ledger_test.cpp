#include "retry/retry_ledger.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <random>

#include "retry/retry_budget.hpp"

using namespace anisehold;
using namespace anisehold::retry;

namespace {

TimePoint at_ms(long long ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

LedgerTerms terms(unsigned allowance) {
    return {allowance, at_ms(5'000), at_ms(0)};
}

SettleRequest settlement(const DrawReply& loan, std::uint64_t identity, unsigned used) {
    SettleRequest request;
    request.call_id = "call";
    request.identity = identity;
    request.loan_id = loan.loan_id;
    request.used = used;
    return request;
}

}  // namespace

TEST_CASE("a nested call borrows the remaining allowance and returns what it did not use") {
    RetryLedger ledger;
    ledger.open("call", terms(3));
    const auto loan = ledger.draw(at_ms(100), {"call", 1, true});
    CHECK(loan.verdict == DrawVerdict::kFirst);
    CHECK(loan.lent == 3);
    CHECK(loan.remaining_ms == 4'900);
    CHECK(loan.root_age_ms == 100);
    CHECK(ledger.draw(at_ms(100), {"call", 2, true}).lent == 0);
    ledger.settle(settlement(loan, 1, 1));
    CHECK(ledger.draw(at_ms(100), {"call", 3, true}).lent == 2);
}

TEST_CASE("a layer's own retry is charged, and refused when nothing is left") {
    RetryLedger ledger;
    ledger.open("call", terms(1));
    const auto first = ledger.draw(at_ms(0), {"call", 1, true});
    ledger.settle(settlement(first, 1, 0));
    const auto second = ledger.draw(at_ms(0), {"call", 1, true});
    CHECK(second.verdict == DrawVerdict::kRetry);
    CHECK(second.lent == 0);
    ledger.settle(settlement(second, 1, 0));
    CHECK(ledger.draw(at_ms(0), {"call", 1, true}).verdict == DrawVerdict::kExhausted);
    CHECK(ledger.close(at_ms(1), "call").used == 1);
}

TEST_CASE("an unsettled loan counts as used, and a second settlement has no effect") {
    RetryLedger ledger;
    ledger.open("call", terms(3));
    const auto loan = ledger.draw(at_ms(0), {"call", 1, true});
    CHECK(ledger.draw(at_ms(0), {"call", 1, true}).verdict == DrawVerdict::kExhausted);
    ledger.settle(settlement(loan, 1, 2));
    ledger.settle(settlement(loan, 1, 0));
    CHECK(ledger.close(at_ms(0), "call").used == 2);
    ledger.open("call", terms(3));
    ledger.draw(at_ms(0), {"call", 1, true});
    CHECK(ledger.close(at_ms(0), "call").used == 3);
}

TEST_CASE("a non-repeatable nested call is made again only if it did not run") {
    RetryLedger ledger;
    ledger.open("call", terms(3));
    const auto first = ledger.draw(at_ms(0), {"call", 1, false});
    CHECK(ledger.draw(at_ms(0), {"call", 1, false}).verdict == DrawVerdict::kNotRetryable);
    auto not_run = settlement(first, 1, 0);
    not_run.not_run = true;
    ledger.settle(not_run);
    const auto second = ledger.draw(at_ms(0), {"call", 1, false});
    CHECK(second.verdict == DrawVerdict::kRetry);
    ledger.settle(settlement(second, 1, 0));
    CHECK(ledger.draw(at_ms(0), {"call", 1, false}).verdict == DrawVerdict::kNotRetryable);
}

TEST_CASE("the report states whether a nested call may have run") {
    RetryLedger ledger;
    ledger.open("call", terms(2));
    auto first = settlement(ledger.draw(at_ms(0), {"call", 1, true}), 1, 0);
    first.not_run = true;
    ledger.settle(first);
    CHECK_FALSE(ledger.close(at_ms(0), "call").nested_ran);
    ledger.open("call", terms(2));
    ledger.settle(settlement(ledger.draw(at_ms(0), {"call", 1, true}), 1, 0));
    auto second = settlement(ledger.draw(at_ms(0), {"call", 1, true}), 1, 0);
    second.not_run = true;
    ledger.settle(second);
    CHECK(ledger.close(at_ms(0), "call").nested_ran);
}

TEST_CASE("the report states whether the call made nested calls, including refused ones") {
    RetryLedger ledger;
    ledger.open("call", terms(2));
    CHECK_FALSE(ledger.close(at_ms(0), "call").made_calls);
    ledger.open("call", terms(2));
    auto refused = settlement(ledger.draw(at_ms(0), {"call", 1, true}), 1, 0);
    refused.not_run = true;
    ledger.settle(refused);
    const auto report = ledger.close(at_ms(0), "call");
    CHECK(report.made_calls);
    CHECK_FALSE(report.nested_ran);
}

TEST_CASE("ended and unknown calls get different verdicts") {
    RetryLedger ledger;
    CHECK(ledger.draw(at_ms(0), {"call", 1, true}).verdict == DrawVerdict::kUnknownCall);
    ledger.open("call", terms(1));
    ledger.close(at_ms(0), "call");
    CHECK(ledger.draw(at_ms(1), {"call", 1, true}).verdict == DrawVerdict::kEnded);
    ledger.expire(at_ms(60'000));
    CHECK(ledger.size() == 0);
}

TEST_CASE("retries of all layers of a chain together stay within the allowance when responses are lost") {
    // Each layer makes one nested call and retries it as long as allowed. Any response may be lost, which
    // makes the layer retry while its loan stays unsettled. Executions at the bottom are bounded by 1 +
    // allowance.
    constexpr unsigned chain_allowance = 3;
    constexpr int layers = 4;
    std::mt19937 random(7);
    for (int round = 0; round < 5'000; ++round) {
        unsigned executions = 0;
        std::uint64_t next_call = 1;
        RetryLedger ledger;
        // Returns the retries used, or nothing if the response is lost.
        const std::function<std::optional<unsigned>(int, unsigned)> run =
            [&](int layer, unsigned allowance) -> std::optional<unsigned> {
            const auto call_id = std::to_string(next_call++);
            ledger.open(call_id, terms(allowance));
            if (layer == layers) {
                ++executions;
            } else {
                for (int attempt = 0; attempt < 4; ++attempt) {
                    const auto loan = ledger.draw(at_ms(0), {call_id, 1, true});
                    if (loan.verdict != DrawVerdict::kFirst && loan.verdict != DrawVerdict::kRetry) {
                        break;
                    }
                    const auto used = run(layer + 1, loan.lent);
                    if (used) {
                        SettleRequest request{call_id, 1, loan.loan_id, *used, "", false, 0, false};
                        ledger.settle(request);
                    }
                }
            }
            const auto used = ledger.close(at_ms(0), call_id).used;
            return random() % 3 == 0 ? std::nullopt : std::optional(used);
        };
        run(0, chain_allowance);
        REQUIRE(executions <= 1 + chain_allowance);
    }
}

TEST_CASE("a client's attempt that ran nothing is not counted") {
    RetryLedger ledger;
    ledger.open_if_absent("call", terms(1));
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto loan = ledger.draw(at_ms(0), {"call", 1, true});
        CHECK(loan.verdict == DrawVerdict::kFirst);
        CHECK(loan.lent == 1);
        auto refused = settlement(loan, 1, 0);
        refused.discard_attempt = true;
        ledger.settle(refused);
        ledger.open_if_absent("call", terms(1));
    }
    const auto loan = ledger.draw(at_ms(0), {"call", 1, true});
    ledger.settle(settlement(loan, 1, 1));
    CHECK(ledger.draw(at_ms(0), {"call", 1, true}).verdict == DrawVerdict::kExhausted);
}

TEST_CASE("the retry budget allows a share of first attempts") {
    RetryBudget budget;
    unsigned retries = 0;
    for (int attempt = 0; attempt < 1'000; ++attempt) {
        budget.on_first_attempt("row");
        retries += budget.try_retry("row") ? 1 : 0;
    }
    CHECK(retries <= 1'000 * RetryBudget::kShare + RetryBudget::kMaxTokens);
    CHECK(retries >= 1'000 * RetryBudget::kShare);
}
