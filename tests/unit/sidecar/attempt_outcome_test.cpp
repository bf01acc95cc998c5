#include "sidecar/attempt_outcome.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::sidecar;
using admission::SampleOutcome;
using hop::HopOutcome;
using retry::AttemptOutcome;

namespace {

GateAnswer answered(unsigned status) {
    GateAnswer answer;
    answer.result.outcome = HopOutcome::kAnswered;
    answer.response = net::make_response(status, "text/plain", "");
    return answer;
}

}  // namespace

TEST_CASE("an attempt outcome is translated consistently for the gate's limit, the plan and server selection",
          "[sidecar-outcome]") {
    const auto good = answered(404);
    CHECK(sample_of(good) == SampleOutcome::kCompleted);
    CHECK(outcome_of(good) == AttemptOutcome::kAnswered);
    CHECK_FALSE(is_server_failure(good));
    CHECK(is_good_answer(good));
    CHECK_FALSE(is_failed_answer(good));

    const auto failed = answered(500);
    CHECK(sample_of(failed) == SampleOutcome::kCompleted);
    CHECK(outcome_of(failed) == AttemptOutcome::kFailedAnswer);
    CHECK_FALSE(is_server_failure(failed));
    CHECK_FALSE(is_good_answer(failed));
    CHECK(is_failed_answer(failed));

    const auto not_sent = make_failure(HopOutcome::kNotSent, ErrorKind::kConnectFailed);
    CHECK(sample_of(not_sent) == SampleOutcome::kIgnored);
    CHECK(outcome_of(not_sent) == AttemptOutcome::kNotSent);
    CHECK_FALSE(is_server_failure(not_sent));
    CHECK_FALSE(is_good_answer(not_sent));
    CHECK_FALSE(is_failed_answer(not_sent));

    const auto declined = make_failure(HopOutcome::kRefusedByServer, ErrorKind::kBackendRefused);
    CHECK(sample_of(declined) == SampleOutcome::kShed);
    CHECK(outcome_of(declined) == AttemptOutcome::kRefusedByServer);
    CHECK(is_server_failure(declined));

    const auto unknown = make_failure(HopOutcome::kUnknown, ErrorKind::kBackendFailed);
    CHECK(sample_of(unknown) == SampleOutcome::kIgnored);
    CHECK(outcome_of(unknown) == AttemptOutcome::kUnknown);
    CHECK(is_server_failure(unknown));
}

TEST_CASE("a retry-after time isn't negative", "[sidecar-outcome]") {
    const auto past = make_failure(HopOutcome::kNotSent, ErrorKind::kOverloaded, milliseconds(-5));
    CHECK(past.result.retry_after == milliseconds(0));
    const auto soon = make_failure(HopOutcome::kNotSent, ErrorKind::kOverloaded, milliseconds(30));
    CHECK(soon.result.retry_after == milliseconds(30));
}

TEST_CASE("the error for a caller doesn't state more than is known about whether its request ran",
          "[sidecar-outcome]") {
    CHECK(error_for_caller(ErrorKind::kOverloaded, false) == ErrorKind::kOverloaded);
    CHECK(error_for_caller(ErrorKind::kOverloaded, true) == ErrorKind::kOutcomeUnknown);
    CHECK(error_for_caller(ErrorKind::kBackendFailed, false) == ErrorKind::kNoBackend);
    CHECK(error_for_caller(ErrorKind::kBackendFailed, true) == ErrorKind::kBackendFailed);
    CHECK(error_for_caller(ErrorKind::kConnectFailed, false) == ErrorKind::kNoBackend);
    CHECK(error_for_caller(ErrorKind::kConnectFailed, true) == ErrorKind::kOutcomeUnknown);
    CHECK(error_for_caller(ErrorKind::kCancelled, false) == ErrorKind::kCancelled);
    CHECK(error_for_caller(ErrorKind::kCancelled, true) == ErrorKind::kCancelled);
}

TEST_CASE("a decline whatever the server's load is no failure in server selection", "[outcomes]") {
    auto declined = make_failure(HopOutcome::kRefusedByServer, ErrorKind::kBackendRefused);
    CHECK(is_server_failure(declined));
    CHECK_FALSE(is_declined(declined));
    declined.result.declined_percent = 55;
    CHECK(is_declined(declined));
    CHECK_FALSE(is_server_failure(declined));
}

TEST_CASE("a retry that the gate refused has not run, and its caller is told so", "[outcomes]") {
    const auto refused = make_failure(HopOutcome::kNotSent, ErrorKind::kRetriesExhausted);
    CHECK(outcome_of(refused) == AttemptOutcome::kNotSent);
    CHECK(sample_of(refused) == SampleOutcome::kIgnored);
    CHECK(error_for_caller(ErrorKind::kRetriesExhausted, false) == ErrorKind::kRetriesExhausted);
    CHECK(error_for_caller(ErrorKind::kRetriesExhausted, true) == ErrorKind::kOutcomeUnknown);
}
