/// @file
/// The header lines that table daemons define: the context that a call carries down the chain, the request to
/// a gate, and the gate's report. Owns their names and text forms; contexts and requests to gates are
/// authenticated under the key that all daemons share. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anisehold {

/// Names of the HTTP headers that the daemons define or read.
namespace header {
inline constexpr std::string_view kContext = "Anisehold-Context";
/// Remaining time of the call in milliseconds, relative, since clocks don't agree.
inline constexpr std::string_view kTimeout = "Anisehold-Timeout-Ms";
/// Set by a back end on a refusal to declare that it ran nothing of the call.
inline constexpr std::string_view kNotRun = "Anisehold-Not-Run";
/// Error kind of an answer that a daemon made.
inline constexpr std::string_view kError = "Anisehold-Error";
/// With an error: what is known about whether the call was run.
inline constexpr std::string_view kExecution = "Anisehold-Execution";
/// Set on an answer that was kept from an earlier request with the same key.
inline constexpr std::string_view kReplayed = "Idempotency-Replayed";
inline constexpr std::string_view kRetryAfter = "Retry-After";
/// Between daemons only: the server whose gate the call is for, and its authentication code.
inline constexpr std::string_view kGate = "Anisehold-Gate";
/// Between daemons only: retries used below, and the gate's load.
inline constexpr std::string_view kGateReport = "Anisehold-Gate-Report";
inline constexpr std::string_view kTraceParent = "traceparent";
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kRequestId = "Anisehold-Request-Id";
}  // namespace header

/// Deepest chain of nested calls that is served; a deeper one is taken for a loop. Chosen, not measured.
inline constexpr unsigned kMaxDepth = 16;

/// What a call knows about the root request that it belongs to.
struct CallContext {
    std::string root_id;                   ///< 32 hexadecimal digits; the trace id of the root request.
    std::string call_id;                   ///< 16 hexadecimal digits; identifies this call within the root.
    std::string home;                      ///< Member id of the daemon that keeps this call's retry ledger.
    unsigned priority = 0;                 ///< 0 is the most important.
    unsigned retry_allowance = 0;          ///< Retries that this call and all below it may still use.
    unsigned depth = 0;                    ///< 0 for a root request.
    bool dispatched_at_most_once = false;  ///< Every call from the root down to this one runs at most once.
};

/// The header value: fields separated by ';', followed by the authentication code under `key`.
std::string encode_call_context(const CallContext& context, std::string_view key);

/// The context in `value`, or nothing if it is malformed, out of range or not authenticated under `key`.
std::optional<CallContext> decode_call_context(std::string_view value, std::string_view key);

/// The trace id (32 hexadecimal digits) of a W3C `traceparent` value, or nothing if it is malformed.
std::optional<std::string> trace_id_of(std::string_view trace_parent);

/// A W3C `traceparent` value for a call.
std::string make_trace_parent(std::string_view trace_id, std::string_view span_id);

/// What a daemon asks of the gate of a server.
struct GateRequest {
    std::string server;             ///< "IP:PORT" of the server.
    std::uint64_t root_age_ms = 0;  ///< Time since the root request came in.
};

/// The value of the `Anisehold-Gate` header for the call whose context header is `context`.
std::string encode_gate_request(const GateRequest& request, std::string_view context, std::string_view key);

/// The request, or nothing if the value is malformed or not authenticated for this `context` under `key`.
std::optional<GateRequest> decode_gate_request(std::string_view value, std::string_view context,
                                               std::string_view key);

/// What a gate reports with its answer.
struct GateReport {
    unsigned retries_used = 0;       ///< By the call and all below it.
    std::string overloaded_service;  ///< That refused the call or one below it; empty if none did.
    bool nested_ran = false;         ///< A call nested in this one may have run.
    bool leaving = false;            ///< The server is leaving.
    unsigned in_flight = 0;          ///< Calls that run at the server.
    unsigned queued = 0;             ///< Calls that wait at the gate.
    unsigned limit = 0;              ///< Most calls that the gate lets run.
    unsigned retry_after_ms = 0;     ///< When a refused caller may come back.
};

/// The value of the `Anisehold-Gate-Report` header.
std::string encode_gate_report(const GateReport& report);
/// The report, or nothing if the value is malformed.
std::optional<GateReport> decode_gate_report(std::string_view value);

}  // namespace anisehold
