/// @file
/// The closed list of error kinds and the one table from a kind to the answer a caller gets. Owns names,
/// statuses and event numbers, which logs, metrics and answers share; who answers decides which kind it is.
#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <system_error>

namespace anisehold {

/// Every way in which a call can end without a back end's own answer. Values are stable: they are the
/// codes of the `std::error_code` category and appear in logs.
enum class ErrorKind {
    kBadRequest = 1,
    kHeaderTooLarge,
    kBodyTooLarge,
    kSlowSender,
    kUnknownService,
    kNoTable,
    kOverloaded,
    kQueueTimeout,
    kNoBackend,
    kConnectFailed,
    kBackendRefused,
    kBackendFailed,
    kOutcomeUnknown,
    kDeadlineExceeded,
    kRetriesExhausted,
    kClaimUnavailable,
    kDuplicateInProgress,
    kDuplicateCompleted,
    kDuplicateUnknown,
    kKeyRequired,
    kKeyConflict,
    kHomeUnreachable,
    kTooDeep,
    kStopping,
    kCancelled,
    kUnauthorized,
    kKeyUnproven,
    kQuotaExceeded,
    kQuotaUnknown,
    kCrashesServers,
};

/// What is known about whether the call was run by a back end.
enum class Execution {
    kNotRun,         ///< No back end was sent any byte of it, or the back end declared that it ran nothing.
    kAttemptNotRun,  ///< This attempt ran nothing; what became of earlier ones with the same key isn't known.
    kMayHaveRun,     ///< Bytes were sent and no whole answer came.
    kRunBefore,      ///< An earlier call with the same idempotency key ran or is running.
};

/// When a caller that was given this kind should come back.
enum class RetryAdvice {
    kNever,  ///< Sending the same request again can't help.
    kSoon,   ///< After a pause: `Retry-After` is sent.
};

/// One row of the table from error kind to answer.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name;  ///< Stable lower-case name, sent as the `kind` member and in `Anisehold-Error`.
    unsigned http_status;
    Execution execution;
    RetryAdvice retry_advice;
    unsigned event_number;  ///< Number of the log event in docs/EVENTS.md.
    std::string_view title;
};

/// The whole table, in the order of the enum.
std::span<const ErrorAnswer> error_answers();

/// The row for `kind`.
const ErrorAnswer& answer_for(ErrorKind kind);

/// The kind with this stable name, if there is one.
std::optional<ErrorKind> error_kind_from_name(std::string_view name);

/// Stable lower-case name of an execution state: "not-run", "attempt-not-run", "may-have-run" or
/// "run-before".
std::string_view execution_name(Execution execution);

/// The `std::error_code` category of `ErrorKind`.
const std::error_category& error_kind_category() noexcept;

/// Found by argument-dependent lookup, so that `std::error_code code = ErrorKind::kNoTable;` works.
std::error_code make_error_code(ErrorKind kind) noexcept;

}  // namespace anisehold

template <>
struct std::is_error_code_enum<anisehold::ErrorKind> : std::true_type {};
