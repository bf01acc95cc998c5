/// @file
/// HTTP headers of a request and its response between the caller's daemon and the server's daemon. Owns their
/// text form, `name=value` pairs separated by ';'. Unknown names are skipped; a text without a required name
/// is rejected as a whole. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/error_kind.hpp"
#include "protocol/request_rate.hpp"
#include "protocol/slow_percent.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::hop {

inline constexpr std::string_view kRequestHeader = "Anisehold-Hop";
inline constexpr std::string_view kResultHeader = "Anisehold-Hop-Result";

/// Information that the gate needs in addition to the request itself. Texts must not contain ';' or line
/// ends; a `row` or `root_row` that does is omitted.
struct HopRequest {
    std::string instance;        ///< The server that the request is for.
    std::string caller;          ///< Service on the machine where the request originated.
    unsigned priority = 0;       ///< 0 is the highest priority.
    milliseconds remaining{0};   ///< Time until the request's deadline.
    milliseconds max_wait{0};    ///< Maximum time that the request may wait at the gate.
    bool at_most_once = false;   ///< The request must not be executed twice.
    unsigned retry_percent = 0;  ///< Probability, 0 to 100, that the request is part of a retry.
    std::string row;       ///< The route and the request's rank; empty if they cannot be written in a header.
    unsigned crashes = 0;  ///< Consecutive servers that crashed executing the request.
    /// The server's rate limit last seen by the sender, for a gate that was restarted.
    std::optional<RequestRate> rate_limit{};
    // Slot reservation (src/reservation). All are omitted when they are false or 0.
    bool reserve = false;        ///< The message asks for a slot; it carries no request.
    std::uint64_t ticket = 0;    ///< With `reserve`: renews the place in the queue with this number.
    std::uint64_t grant = 0;     ///< The request takes the slot that was granted under this number.
    std::uint64_t withdraw = 0;  ///< The message gives the grant or place with this number back.
    /// The caller's daemon sends the request again, and the gate may refuse the retry (retry/gate_budget). A
    /// first attempt of a run that is a retry isn't.
    bool is_retry = false;
    /// Row and rank of the client's request that the request is made for; empty if unknown.
    std::string root_row{};
    std::optional<unsigned> root_priority{};
    unsigned made = 0;  ///< Calls that the parent of the request has made before this one.
};

/// Outcome of the request at the gate.
enum class HopOutcome {
    kAnswered,         ///< The message is the server's response.
    kNotSent,          ///< Rejected at the gate; nothing was sent to the server.
    kRefusedByServer,  ///< The server declared that it executed nothing.
    kUnknown,          ///< The request may have been executed; the message is not a response of the server.
    kGranted,          ///< Reply to a reservation: a slot is held for the request.
    kWaiting,          ///< Reply to a reservation: it waits in the queue, and must be renewed.
};

/// The gate's report with every response: the outcome and its server's load.
struct HopResult {
    HopOutcome outcome = HopOutcome::kUnknown;
    ErrorKind error = ErrorKind::kBackendFailed;  ///< Valid unless answered.
    milliseconds retry_after{0};                  ///< Time until capacity is expected; valid unless answered.
    std::string instance;                         ///< The gate's current server.
    unsigned in_flight = 0;                       ///< Requests in flight at the server.
    unsigned queued = 0;                          ///< Requests queued at the gate.
    unsigned limit = 0;                           ///< The gate's limit of requests in flight.
    std::optional<RequestRate> rate_limit;        ///< Rate limit reported by the server, if any.
    bool server_leaves = false;                   ///< The server's response announces its shutdown.
    unsigned latency_us = 0;                      ///< The server's response time.
    unsigned failed_percent = 0;                  ///< Share of recent requests that the server failed.
    unsigned declined_percent = 0;  ///< Share of arrivals that the server declines whatever its load.
    unsigned crashes = 0;  ///< Consecutive servers that crashed executing the request, as known at the gate.
    /// Set if the server failed and a call that it made was meanwhile rejected for overload.
    std::string overloaded_service;
    // Slot reservation (src/reservation). All are omitted when they are 0.
    std::uint64_t ticket = 0;    ///< If waiting: the number of the place in the queue.
    std::uint64_t grant = 0;     ///< If granted: the number of the grant; 0 if the gate needs no reservation.
    milliseconds grant_time{0};  ///< If granted: validity of the grant from the gate's decision on.
    /// Present duration of work at the server, in percent of the usual one.
    unsigned slow_percent = kUsualSlowPercent;
};

std::string encode(const HopRequest& request);
std::string encode(const HopResult& result);
/// Empty if the text is malformed.
std::optional<HopRequest> decode_hop_request(std::string_view text);
std::optional<HopResult> decode_hop_result(std::string_view text);
/// Stable lower-case name of an outcome.
std::string_view outcome_name(HopOutcome outcome);

}  // namespace anisehold::hop
