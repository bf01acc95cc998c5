#include "retry/attempt_plan.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::retry;

namespace {

const TimePoint kStart = TimePoint() + seconds(100);
const TimePoint kDeadline = kStart + seconds(2);

AttemptPlan plan(bool may_retry, unsigned max_servers = 2) {
    return AttemptPlan({may_retry, max_servers, kDeadline, TimePoint::max(), milliseconds(300)});
}

}  // namespace

TEST_CASE("the first step is to launch, or to refuse without a server") {
    CHECK(plan(true).next(kStart, true) == AttemptStep::kLaunch);
    CHECK(plan(true).next(kStart, false) == AttemptStep::kRefuse);
}

TEST_CASE("a request that reached no server is launched again without using a retry") {
    auto request = plan(false, 1);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kNotSent);
    CHECK(request.next(kStart, true) == AttemptStep::kLaunch);
    CHECK(request.next(kStart, false) == AttemptStep::kRefuse);
    CHECK_FALSE(request.may_have_run());
}

TEST_CASE("an at-most-once request whose outcome is unknown is never sent again") {
    auto request = plan(false);
    request.on_launched(kStart);
    CHECK(request.next(kStart + seconds(1), true) == AttemptStep::kWait);
    request.on_outcome(AttemptOutcome::kUnknown);
    CHECK(request.next(kStart + seconds(1), true) == AttemptStep::kFail);
    CHECK(request.may_have_run());
}

TEST_CASE("an at-most-once request that a server declined may be retried at another server") {
    auto request = plan(false);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kRefusedByServer);
    CHECK(request.next(kStart, true) == AttemptStep::kLaunchRetry);
    request.on_retry_refused();
    CHECK(request.next(kStart, true) == AttemptStep::kRefuse);
}

TEST_CASE("a repeatable request is retried after a failure, up to its maximum number of servers") {
    auto request = plan(true, 2);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kUnknown);
    CHECK(request.next(kStart, true) == AttemptStep::kLaunchRetry);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kUnknown);
    CHECK(request.next(kStart, true) == AttemptStep::kFail);
}

TEST_CASE("a failed response is delivered when no retry is possible") {
    auto request = plan(true, 2);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kFailedAnswer);
    CHECK(request.next(kStart, true) == AttemptStep::kLaunchRetry);
    request.on_retry_refused();
    CHECK(request.next(kStart, true) == AttemptStep::kDeliver);
}

TEST_CASE("a slow attempt is hedged, and the first good response is delivered") {
    auto request = plan(true, 2);
    request.on_launched(kStart);
    CHECK(request.next(kStart + milliseconds(299), true) == AttemptStep::kWait);
    CHECK(request.wait_until(kStart) == kStart + milliseconds(300));
    CHECK(request.next(kStart + milliseconds(300), true) == AttemptStep::kLaunchRetry);
    request.on_launched(kStart + milliseconds(300));
    CHECK(request.next(kStart + seconds(1), true) == AttemptStep::kWait);
    CHECK(request.wait_until(kStart) == kDeadline);
    request.on_outcome(AttemptOutcome::kAnswered);
    CHECK(request.next(kStart + seconds(1), true) == AttemptStep::kDeliver);
}

TEST_CASE("a retry that the budget refused is not requested again until an attempt ends") {
    auto request = plan(true, 3);
    request.on_launched(kStart);
    request.on_retry_refused();
    CHECK(request.next(kStart + seconds(1), true) == AttemptStep::kWait);
    CHECK(request.wait_until(kStart) == kDeadline);
    request.on_outcome(AttemptOutcome::kUnknown);
    CHECK(request.next(kStart + seconds(1), true) == AttemptStep::kLaunchRetry);
}

TEST_CASE("no attempt is started after the deadline or shortly before") {
    auto request = plan(true);
    CHECK(request.next(kDeadline, true) == AttemptStep::kTimeUp);
    auto late = plan(true);
    late.on_launched(kStart);
    late.on_outcome(AttemptOutcome::kUnknown);
    CHECK(late.next(kDeadline - milliseconds(10), true) == AttemptStep::kFail);
}

TEST_CASE("the retry reason follows from the state of the attempts") {
    auto slow = plan(true);
    slow.on_launched(kStart);
    CHECK(slow.retry_reason() == RetryReason::kSlow);
    slow.on_outcome(AttemptOutcome::kUnknown);
    CHECK(slow.retry_reason() == RetryReason::kNoAnswer);
    auto failed = plan(true);
    failed.on_launched(kStart);
    failed.on_outcome(AttemptOutcome::kFailedAnswer);
    CHECK(failed.retry_reason() == RetryReason::kFailedAnswer);
}

TEST_CASE("a request that has waited at gates for too long is refused instead of trying the next gate") {
    AttemptPlan request({true, 2, kDeadline, kStart + milliseconds(250), milliseconds(300)});
    CHECK(request.next(kStart + milliseconds(300), true) == AttemptStep::kLaunch);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kNotSent);
    CHECK(request.next(kStart + milliseconds(249), true) == AttemptStep::kLaunch);
    CHECK(request.next(kStart + milliseconds(250), true) == AttemptStep::kRefuse);
    CHECK_FALSE(request.may_have_run());
}

TEST_CASE("during server discovery a request waits for a server, up to its time limit") {
    AttemptTerms terms{true, 2, kDeadline, kStart + milliseconds(300), milliseconds(300)};
    terms.servers_known_at = kStart + seconds(1);
    const AttemptPlan request(terms);
    CHECK(request.next(kStart, false) == AttemptStep::kWait);
    CHECK(request.wait_until(kStart) > kStart);
    CHECK(request.wait_until(kStart) <= kStart + milliseconds(50));
    CHECK(request.next(kStart + milliseconds(100), true) == AttemptStep::kLaunch);
    CHECK(request.next(kStart + milliseconds(300), false) == AttemptStep::kRefuse);
}

TEST_CASE("after server discovery a request without a server is refused at once") {
    AttemptTerms terms{true, 2, kDeadline, kStart + milliseconds(300), milliseconds(300)};
    terms.servers_known_at = kStart - milliseconds(1);
    CHECK(AttemptPlan(terms).next(kStart, false) == AttemptStep::kRefuse);
}

TEST_CASE("a request whose attempts were cancelled may have run only if one of them was sent") {
    for (const bool was_sent : {false, true}) {
        auto request = plan(false);
        request.on_launched(kStart);
        CHECK(request.may_have_run());
        CHECK(request.next(kDeadline, true) == AttemptStep::kTimeUp);
        request.on_cancelled(was_sent);
        CHECK(request.may_have_run() == was_sent);
        CHECK(request.running() == 0);
    }
    auto hedged = plan(true);
    hedged.on_launched(kStart);
    hedged.on_launched(kStart + milliseconds(300));
    hedged.on_cancelled(true);
    hedged.on_cancelled(false);
    CHECK(hedged.may_have_run());
}

TEST_CASE("a slow attempt without a possible hedge does not wait until a time in the past") {
    AttemptTerms terms{true, 2, kDeadline, TimePoint::max(), milliseconds(300)};
    terms.may_hedge = true;
    AttemptPlan slow(terms);
    slow.on_launched(kStart);
    CHECK(slow.wait_until(kStart) == kStart + milliseconds(300));
    const auto overdue = kStart + milliseconds(400);
    // No other server is known.
    REQUIRE(slow.next(overdue, false) == AttemptStep::kWait);
    CHECK(slow.wait_until(overdue) > overdue);
    CHECK(slow.wait_until(overdue) < kDeadline);
    // Another server is known, but too little time is left for a hedge.
    const auto late = kDeadline - milliseconds(10);
    REQUIRE(slow.next(late, true) == AttemptStep::kWait);
    CHECK(slow.wait_until(late) == kDeadline);
}

namespace {

/// A plan whose declined attempts are repeated.
AttemptPlan repeating_plan(bool may_retry, unsigned max_servers) {
    AttemptTerms terms{may_retry, max_servers, kDeadline, TimePoint::max(), milliseconds(300)};
    terms.repeats_declined = true;
    return AttemptPlan(terms);
}

}  // namespace

TEST_CASE("a declined request is sent up to six times, even if it must not run twice") {
    auto request = repeating_plan(false, 2);
    for (unsigned sends = 1; sends < kMaxSends; ++sends) {
        request.on_launched(kStart);
        request.on_outcome(AttemptOutcome::kRefusedByServer);
        CHECK(request.next(kStart, true) == AttemptStep::kLaunchRetry);
    }
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kRefusedByServer);
    CHECK(request.next(kStart, true) == AttemptStep::kRefuse);
}

TEST_CASE("a declined request is not repeated when no time is left") {
    auto request = repeating_plan(false, 2);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kRefusedByServer);
    CHECK(request.next(kDeadline - milliseconds(10), true) == AttemptStep::kRefuse);
}

TEST_CASE("attempts that may have run stay within the maximum number of servers") {
    auto request = repeating_plan(true, 2);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kRefusedByServer);
    for (int runs = 0; runs < 2; ++runs) {
        CHECK(request.next(kStart, true) == AttemptStep::kLaunchRetry);
        request.on_launched(kStart);
        request.on_outcome(AttemptOutcome::kUnknown);
    }
    CHECK(request.next(kStart, true) == AttemptStep::kFail);
}

TEST_CASE("after the gate has refused a retry, the request ends with what is known of it") {
    auto declined = repeating_plan(true, 3);
    declined.on_launched(kStart);
    declined.on_outcome(AttemptOutcome::kRefusedByServer);
    declined.on_launched(kStart);
    declined.on_outcome(AttemptOutcome::kNotSent);
    declined.on_retries_exhausted();
    CHECK(declined.next(kStart, true) == AttemptStep::kRefuse);

    auto unknown = repeating_plan(true, 3);
    unknown.on_launched(kStart);
    unknown.on_outcome(AttemptOutcome::kUnknown);
    unknown.on_launched(kStart);
    unknown.on_outcome(AttemptOutcome::kNotSent);
    unknown.on_retries_exhausted();
    CHECK(unknown.next(kStart, true) == AttemptStep::kFail);
}

TEST_CASE("a hedge that the gate refuses leaves the first attempt running") {
    auto request = repeating_plan(true, 3);
    request.on_launched(kStart);
    const auto slow = kStart + milliseconds(400);
    CHECK(request.next(slow, true) == AttemptStep::kLaunchRetry);
    request.on_launched(slow);
    request.on_outcome(AttemptOutcome::kNotSent);
    request.on_retries_exhausted();
    CHECK(request.next(slow + seconds(1), true) == AttemptStep::kWait);
    CHECK(request.wait_until(slow + seconds(1)) == kDeadline);
    request.on_outcome(AttemptOutcome::kAnswered);
    CHECK(request.next(slow + seconds(1), true) == AttemptStep::kDeliver);
}

/// Guards against a refusal, after 100 ms at a silent gate, of a request with a target latency of 200 ms
/// whose deadline leaves time for another server.
TEST_CASE("a request that met a silent gate goes to one more server after its time for gates") {
    retry::AttemptTerms terms{false, 2, kDeadline, kStart + milliseconds(50), milliseconds(300)};
    AttemptPlan request(terms);
    const auto later = kStart + milliseconds(100);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kNotSent);
    CHECK(request.next(later, true) == AttemptStep::kRefuse);
    request.on_silent_gate();
    CHECK(request.next(later, true) == AttemptStep::kLaunch);
    CHECK(request.next(later, false) == AttemptStep::kRefuse);
    CHECK(request.next(kDeadline - milliseconds(10), true) == AttemptStep::kRefuse);
    request.on_launched(later);
    request.on_outcome(AttemptOutcome::kNotSent);
    CHECK(request.next(later, true) == AttemptStep::kRefuse);
    CHECK_FALSE(request.may_have_run());
}
