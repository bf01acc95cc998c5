/// @file
/// The header lines that a request and its answer carry between the daemon near the caller and the daemon
/// beside the server. Owns their text form, `name=value` pairs separated by ';'. Unknown names are skipped; a
/// text without one of the others is refused whole. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/error_kind.hpp"
#include "protocol/request_rate.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::hop {

inline constexpr std::string_view kRequestHeader = "Anisehold-Hop";
inline constexpr std::string_view kResultHeader = "Anisehold-Hop-Result";

/// What the gate must know of a request beyond the request itself. Texts may not hold ';' or the end of a
/// line; a `row` that does is left out.
struct HopRequest {
    std::string instance;        ///< The server that is meant.
    std::string caller;          ///< Service on the machine where the request began.
    unsigned priority = 0;       ///< 0 is the most important.
    milliseconds remaining{0};   ///< Time left until the request is given up.
    milliseconds max_wait{0};    ///< Longest time it may wait at the gate.
    bool at_most_once = false;   ///< It must not run twice.
    unsigned retry_percent = 0;  ///< How likely it is a retry, or made by a run that is one; 0 to 100.
    std::string row;  ///< The route and the request's rank; empty if it can't be written in a header line.
    unsigned crashes = 0;  ///< Servers in a row that are known to have crashed under it.
    /// The rate limit that the sender last heard of the server, for a gate that was restarted.
    std::optional<RequestRate> rate_limit{};
};

/// What became of the request at the gate.
enum class HopOutcome {
    kAnswered,         ///< The message is the server's answer.
    kNotSent,          ///< Refused at the gate; the server was sent nothing.
    kRefusedByServer,  ///< The server declared that it ran nothing.
    kUnknown,          ///< It may have run; the message is no answer of the server.
};

/// What the gate reports with every answer: the outcome, and its server's load.
struct HopResult {
    HopOutcome outcome = HopOutcome::kUnknown;
    ErrorKind error = ErrorKind::kBackendFailed;  ///< Unless answered.
    milliseconds retry_after{0};                  ///< When capacity is expected, unless answered.
    std::string instance;                         ///< The server that the gate has now.
    unsigned in_flight = 0;                       ///< Requests that run at the server.
    unsigned queued = 0;                          ///< Requests that wait at the gate.
    unsigned limit = 0;                           ///< Most requests that the gate lets run.
    std::optional<RequestRate> rate_limit;        ///< That the server named, if any.
    bool server_leaves = false;                   ///< The server's answer says that it ends soon.
    unsigned latency_us = 0;                      ///< Time that the server takes for a request.
    unsigned failed_percent = 0;                  ///< Share of the server's latest requests that it failed.
    unsigned crashes = 0;  ///< Servers in a row that are known at the gate to have crashed under it.
    /// Set when the server failed and a call that it made had been refused for overload meanwhile.
    std::string overloaded_service;
};

std::string encode(const HopRequest& request);
std::string encode(const HopResult& result);
/// Nothing if the text is malformed.
std::optional<HopRequest> decode_hop_request(std::string_view text);
std::optional<HopResult> decode_hop_result(std::string_view text);
/// Stable lower-case name of an outcome.
std::string_view outcome_name(HopOutcome outcome);

}  // namespace anisehold::hop
