/// @file
/// What became of one attempt, and what each part of the sidecar makes of it: the gate's limit, the server's
/// failures, the plan of the attempts, and the answer to the caller. Pure; every such translation is here.
#pragma once

#include <optional>

#include "admission/concurrency_limit.hpp"
#include "hop/hop_header.hpp"
#include "net/http_types.hpp"
#include "protocol/error_kind.hpp"
#include "protocol/time_types.hpp"
#include "retry/attempt_plan.hpp"

namespace anisehold::sidecar {

/// What became of a request at a gate, with the server's answer if it gave one.
struct GateAnswer {
    hop::HopResult result;
    std::optional<net::HttpResponse> response;  ///< Set if the outcome is `kAnswered`, and only then.
};

/// Of a request that has no answer of a server. `retry_after`: when capacity is expected, zero if that isn't
/// known.
GateAnswer without_answer(hop::HopOutcome outcome, ErrorKind error, Duration retry_after = Duration::zero());

/// Whether a server answered, and the answer says that the server failed.
bool is_failed_answer(const GateAnswer& answer);
/// Whether a server answered, and the answer doesn't say that the server failed.
bool is_good_answer(const GateAnswer& answer);

/// For the limit of the gate: an answer counts as completed work, a request that the server declined says
/// that the limit is too high, anything else says nothing of the server's capacity.
admission::SampleOutcome sample_of(const GateAnswer& answer);

/// For the plan of the request's attempts.
retry::AttemptOutcome outcome_of(const GateAnswer& answer);

/// For the choice of servers: no whole answer came, or the server declined the request. An answer from 500 on
/// is whole: it is counted at the gate, in the server's share of failures.
bool is_server_failure(const GateAnswer& answer);

/// For the caller: `error`, unless that says something else of whether the request ran than what is known.
ErrorKind error_for_caller(ErrorKind error, bool may_have_run);

}  // namespace anisehold::sidecar
