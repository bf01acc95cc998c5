/// @file
/// Outcomes of attempts, and their translation for each consumer: the gate's limit, the failure history of
/// servers, the attempt plan, and the response to the caller. Pure functions; all such translations are in
/// this file.
#pragma once

#include <optional>

#include "admission/concurrency_limit.hpp"
#include "hop/hop_header.hpp"
#include "net/http_types.hpp"
#include "protocol/error_kind.hpp"
#include "protocol/time_types.hpp"
#include "retry/attempt_plan.hpp"

namespace anisehold::sidecar {

/// Result of a request at a gate, with the server's response if there was one.
struct GateAnswer {
    hop::HopResult result;
    std::optional<net::HttpResponse> response;  ///< Set if and only if the outcome is `kAnswered`.
    bool gate_was_silent = false;  ///< The gate gave no reply to a reservation; the request was not sent.
};

/// Result of a request without a response of a server. `retry_after`: time until capacity is expected, zero
/// if unknown.
GateAnswer make_failure(hop::HopOutcome outcome, ErrorKind error, Duration retry_after = Duration::zero());

/// Whether a server responded with a server error.
bool is_failed_answer(const GateAnswer& answer);
/// Whether a server responded with anything but a server error.
bool is_good_answer(const GateAnswer& answer);

/// Outcome for the gate's limit: a response counts as completed work, a request that the server refused shows
/// that the limit is too high, and anything else says nothing about the server's capacity.
admission::SampleOutcome sample_of(const GateAnswer& answer);

/// Outcome for the attempt plan of the request.
retry::AttemptOutcome outcome_of(const GateAnswer& answer);

/// Whether the attempt counts as a failure in server selection: no complete response arrived, the server's
/// gate was silent to a reservation, or the server refused the request. A server that declines a share of its
/// arrivals whatever its load is compared by that share instead (selection/server_selection). A response with
/// a status of 500 or above is complete; the gate counts it in the server's failure share.
bool is_server_failure(const GateAnswer& answer);

/// Whether the server refused the request while its gate believed that it declines a share of its arrivals
/// whatever its load.
bool is_declined(const GateAnswer& answer);

/// The error returned to the caller: `error`, unless its statement on whether the request ran contradicts
/// `may_have_run`.
ErrorKind error_for_caller(ErrorKind error, bool may_have_run);

}  // namespace anisehold::sidecar
