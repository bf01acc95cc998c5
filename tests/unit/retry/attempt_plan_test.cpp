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

TEST_CASE("the first step is to send, or to refuse when there is no server") {
    CHECK(plan(true).next(kStart, true) == AttemptStep::kLaunch);
    CHECK(plan(true).next(kStart, false) == AttemptStep::kRefuse);
}

TEST_CASE("a request that no server was reached with moves on free of charge") {
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

TEST_CASE("an at-most-once request that a server declined may go to another one") {
    auto request = plan(false);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kRefusedByServer);
    CHECK(request.next(kStart, true) == AttemptStep::kLaunchRetry);
    request.on_retry_refused();
    CHECK(request.next(kStart, true) == AttemptStep::kRefuse);
}

TEST_CASE("a repeatable request is repeated after a failure, within its servers") {
    auto request = plan(true, 2);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kUnknown);
    CHECK(request.next(kStart, true) == AttemptStep::kLaunchRetry);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kUnknown);
    CHECK(request.next(kStart, true) == AttemptStep::kFail);
}

TEST_CASE("a server's failure answer is kept for when there is nothing better") {
    auto request = plan(true, 2);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kFailedAnswer);
    CHECK(request.next(kStart, true) == AttemptStep::kLaunchRetry);
    request.on_retry_refused();
    CHECK(request.next(kStart, true) == AttemptStep::kDeliver);
}

TEST_CASE("a slow attempt is joined by another one, and the first good answer ends it") {
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

TEST_CASE("a refused repeat is not asked for again until something ends") {
    auto request = plan(true, 3);
    request.on_launched(kStart);
    request.on_retry_refused();
    CHECK(request.next(kStart + seconds(1), true) == AttemptStep::kWait);
    CHECK(request.wait_until(kStart) == kDeadline);
    request.on_outcome(AttemptOutcome::kUnknown);
    CHECK(request.next(kStart + seconds(1), true) == AttemptStep::kLaunchRetry);
}

TEST_CASE("nothing is started when the time is up") {
    auto request = plan(true);
    CHECK(request.next(kDeadline, true) == AttemptStep::kTimeUp);
    auto late = plan(true);
    late.on_launched(kStart);
    late.on_outcome(AttemptOutcome::kUnknown);
    CHECK(late.next(kDeadline - milliseconds(10), true) == AttemptStep::kFail);
}

TEST_CASE("the reason of a repeat is told") {
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

TEST_CASE("a request that waited at gates for long is refused instead of waiting at the next") {
    AttemptPlan request({true, 2, kDeadline, kStart + milliseconds(250), milliseconds(300)});
    CHECK(request.next(kStart + milliseconds(300), true) == AttemptStep::kLaunch);
    request.on_launched(kStart);
    request.on_outcome(AttemptOutcome::kNotSent);
    CHECK(request.next(kStart + milliseconds(249), true) == AttemptStep::kLaunch);
    CHECK(request.next(kStart + milliseconds(250), true) == AttemptStep::kRefuse);
    CHECK_FALSE(request.may_have_run());
}

TEST_CASE("while servers are still being heard of, a request waits for one, but not past its bound") {
    AttemptTerms terms{true, 2, kDeadline, kStart + milliseconds(300), milliseconds(300)};
    terms.servers_known_at = kStart + seconds(1);
    const AttemptPlan request(terms);
    CHECK(request.next(kStart, false) == AttemptStep::kWait);
    CHECK(request.wait_until(kStart) > kStart);
    CHECK(request.wait_until(kStart) <= kStart + milliseconds(50));
    CHECK(request.next(kStart + milliseconds(100), true) == AttemptStep::kLaunch);
    CHECK(request.next(kStart + milliseconds(300), false) == AttemptStep::kRefuse);
}

TEST_CASE("once servers are known, a request without one is refused at once") {
    AttemptTerms terms{true, 2, kDeadline, kStart + milliseconds(300), milliseconds(300)};
    terms.servers_known_at = kStart - milliseconds(1);
    CHECK(AttemptPlan(terms).next(kStart, false) == AttemptStep::kRefuse);
}

TEST_CASE("a request whose attempts were given up may have run only if one of them was sent") {
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

TEST_CASE("a slow attempt that nothing can join doesn't wait for a moment that is past") {
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
    // One is, but too little time is left for it.
    const auto late = kDeadline - milliseconds(10);
    REQUIRE(slow.next(late, true) == AttemptStep::kWait);
    CHECK(slow.wait_until(late) == kDeadline);
}
