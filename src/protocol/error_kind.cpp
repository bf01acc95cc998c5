#include "protocol/error_kind.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace anisehold {
namespace {

using enum ErrorKind;
using enum Execution;
using enum RetryAdvice;

constexpr std::array kAnswers{
    ErrorAnswer{kBadRequest, "bad-request", 400, kNotRun, kNever, 2001, "The request is malformed"},
    ErrorAnswer{kHeaderTooLarge, "header-too-large", 431, kNotRun, kNever, 2002,
                "The request header is too large"},
    ErrorAnswer{kBodyTooLarge, "body-too-large", 413, kNotRun, kNever, 2003, "The request body is too large"},
    ErrorAnswer{kSlowSender, "slow-sender", 408, kNotRun, kSoon, 2004, "The request did not arrive in time"},
    ErrorAnswer{kUnknownService, "unknown-service", 404, kNotRun, kNever, 2005,
                "The table has no row for this service"},
    ErrorAnswer{kNoTable, "no-table", 503, kNotRun, kSoon, 2006, "This daemon has no table yet"},
    ErrorAnswer{kOverloaded, "overloaded", 503, kNotRun, kSoon, 2007,
                "The service admits no more calls of this priority"},
    ErrorAnswer{kQueueTimeout, "queue-timeout", 503, kNotRun, kSoon, 2008,
                "The call would not be served in its remaining time"},
    ErrorAnswer{kNoBackend, "no-backend", 503, kNotRun, kSoon, 2009,
                "No back end of this service is available"},
    ErrorAnswer{kConnectFailed, "connect-failed", 502, kNotRun, kSoon, 2010,
                "No connection to the back end could be made"},
    ErrorAnswer{kBackendRefused, "backend-refused", 503, kNotRun, kSoon, 2011,
                "The back end refused the call and ran nothing"},
    ErrorAnswer{kBackendFailed, "backend-failed", 502, kMayHaveRun, kSoon, 2012,
                "The back end gave no whole answer"},
    ErrorAnswer{kOutcomeUnknown, "outcome-unknown", 502, kMayHaveRun, kNever, 2013,
                "The call may have run; it is not repeated"},
    ErrorAnswer{kDeadlineExceeded, "deadline-exceeded", 504, kMayHaveRun, kSoon, 2014,
                "The call ran out of time"},
    ErrorAnswer{kRetriesExhausted, "retries-exhausted", 503, kNotRun, kSoon, 2015,
                "The request has used up its retries"},
    ErrorAnswer{kClaimUnavailable, "claim-unavailable", 503, kAttemptNotRun, kSoon, 2016,
                "No majority of claim holders could be reached"},
    ErrorAnswer{kDuplicateInProgress, "duplicate-in-progress", 409, kRunBefore, kSoon, 2017,
                "A request with this key is in progress"},
    ErrorAnswer{kDuplicateCompleted, "duplicate-completed", 409, kRunBefore, kNever, 2018,
                "A request with this key has completed"},
    ErrorAnswer{kDuplicateUnknown, "duplicate-unknown", 409, kRunBefore, kNever, 2019,
                "A request with this key was started; its outcome is unknown"},
    ErrorAnswer{kKeyRequired, "key-required", 400, kNotRun, kNever, 2020,
                "This kind of request needs an Idempotency-Key"},
    ErrorAnswer{kKeyConflict, "key-conflict", 422, kNotRun, kNever, 2021,
                "This Idempotency-Key was used for a different request"},
    ErrorAnswer{kHomeUnreachable, "home-unreachable", 503, kNotRun, kSoon, 2022,
                "The daemon that accounts for this request can't be reached"},
    ErrorAnswer{kTooDeep, "too-deep", 508, kNotRun, kNever, 2023, "The call chain is too deep"},
    ErrorAnswer{kStopping, "stopping", 503, kNotRun, kSoon, 2024, "This daemon is stopping"},
    ErrorAnswer{kCancelled, "cancelled", 499, kMayHaveRun, kNever, 2025, "The caller went away"},
    ErrorAnswer{kUnauthorized, "unauthorized", 401, kNotRun, kNever, 2026,
                "The request needs a key that is in force"},
    ErrorAnswer{kKeyUnproven, "key-unproven", 503, kNotRun, kSoon, 2027,
                "This daemon can't tell for now which keys are in force"},
    ErrorAnswer{kQuotaExceeded, "quota-exceeded", 429, kNotRun, kSoon, 2028,
                "The tenant has used up its quota"},
    ErrorAnswer{kQuotaUnknown, "quota-unknown", 503, kNotRun, kSoon, 2029,
                "The daemon that counts the tenant's requests can't be reached"},
    ErrorAnswer{kCrashesServers, "crashes-servers", 502, kNotRun, kNever, 2030,
                "The request has crashed several servers and is sent to none"},
    ErrorAnswer{kMemoryFull, "memory-full", 503, kNotRun, kSoon, 2031,
                "This daemon holds as much for its callers as its memory allows"},
};

class ErrorKindCategory final : public std::error_category {
  public:
    const char* name() const noexcept override { return "anisehold"; }
    std::string message(int value) const override {
        return std::string(answer_for(static_cast<ErrorKind>(value)).title);
    }
};

}  // namespace

std::span<const ErrorAnswer> error_answers() {
    return kAnswers;
}

const ErrorAnswer& answer_for(ErrorKind kind) {
    const auto index = static_cast<std::size_t>(kind) - 1;
    return kAnswers.at(index);
}

std::optional<ErrorKind> error_kind_from_name(std::string_view name) {
    const auto* found = std::find_if(kAnswers.begin(), kAnswers.end(),
                                     [&](const ErrorAnswer& answer) { return answer.name == name; });
    if (found == kAnswers.end()) {
        return std::nullopt;
    }
    return found->kind;
}

std::string_view execution_name(Execution execution) {
    switch (execution) {
        case kNotRun:
            return "not-run";
        case kAttemptNotRun:
            return "attempt-not-run";
        case kMayHaveRun:
            return "may-have-run";
        case kRunBefore:
            return "run-before";
    }
    return "may-have-run";
}

const std::error_category& error_kind_category() noexcept {
    static const ErrorKindCategory category;
    return category;
}

std::error_code make_error_code(ErrorKind kind) noexcept {
    return {static_cast<int>(kind), error_kind_category()};
}

}  // namespace anisehold
