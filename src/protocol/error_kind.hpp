/// @file
/// The closed list of error kinds and the table that maps a kind to the response sent to the caller. Owns
/// names, statuses and event numbers, which are shared by logs, metrics and responses. The component that
/// responds selects the kind.
#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <system_error>

namespace anisehold {

/// Every way in which a call can end without a back end's own response. Values are stable: they are the codes
/// of the `std::error_code` category and appear in logs.
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
    kMemoryFull,
};

/// What is known about whether a back end executed the call.
enum class Execution {
    kNotRun,         ///< No back end was sent any byte, or the back end declared that it executed nothing.
    kAttemptNotRun,  ///< This attempt executed nothing; the outcome of earlier attempts with the same key is
                     ///< unknown.
    kMayHaveRun,     ///< Bytes were sent and no complete response arrived.
    kRunBefore,      ///< An earlier call with the same idempotency key was executed or is in progress.
};

/// Whether a caller should retry after an error of this kind.
enum class RetryAdvice {
    kNever,  ///< Retrying the same request cannot succeed.
    kSoon,   ///< Retry after a delay; `Retry-After` is sent.
};

/// One row of the table that maps error kinds to responses.
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
