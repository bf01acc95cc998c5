/// @file
/// Accepts requests from this machine's clients and server, and returns the final response to each.
///
/// The checks run in this order. Each names the file that implements its rule and the error kinds returned on
/// refusal; protocol/error_kind.cpp defines their status and whether the caller may retry.
///
///  1. Is there a configuration? sidecar/configuration_holder; `kNoTable`.
///  2. Does a route match? routing/configuration; `kUnknownService`.
///  3. Does the request have an id? The dialect; `kBadRequest`.
///  4. Who is the caller, and with which priority? tenancy/caller_verdict; `kUnauthorized`, `kKeyUnproven`.
///  5. Which service handles the request? routing/weighted_split.
///  6. Is the request known to crash servers? suspects/crash_ledger; `kCrashesServers`.
///  7. If a client sent the request (admission/origin_estimator): is there capacity? overload/root_limit,
///     and returning/precedence for callers that were refused before; `kOverloaded`.
///  8. Is the tenant within its quota? tenancy/token_cache, tenancy/quota_bucket; `kQuotaExceeded`,
///     `kQuotaUnknown`.
///  9. To which servers is the request sent, and how often? sidecar/call_attempts.
/// 10. Does the server's gate admit the request? sidecar/local_gate.
///
/// Only the last three block the request's fiber.
#pragma once

#include <optional>
#include <string>

#include "attribution/known_share.hpp"
#include "net/http_types.hpp"
#include "protocol/error_kind.hpp"
#include "returning/fresh_deadlines.hpp"
#include "returning/precedence.hpp"
#include "returning/return_time.hpp"
#include "routing/weighted_split.hpp"
#include "sidecar/call_attempts.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/incoming_call.hpp"
#include "sidecar/proof_keeper.hpp"
#include "sidecar/quota_exchange.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// What is known of callers that were refused and come back.
struct ReturningState {
    returning::FreshDeadlines deadlines;
    returning::Precedence precedence;
    returning::ReturnTimes times;
};

/// Runs the checks before a request is sent, and builds the response from the result of its attempts.
class CallIngress {
  public:
    CallIngress(SidecarContext& context, ConfigurationHolder& configuration,
                membership::PeerDirectory& directory, LocalGate& gate, ProofKeeper& proofs,
                QuotaExchange& quotas, CrashExchange& crashes);

    /// Handles one request; blocks its fiber until the response is ready.
    net::HttpResponse handle(net::HttpRequest& request, net::CancelSignal& cancel);
    /// Builds the response to a request that could not be parsed.
    net::HttpResponse reject(ErrorKind kind);
    /// Applies changed settings.
    void apply_settings() { attempts_.apply_settings(); }
    CallAttempts& attempts() { return attempts_; }

  private:
    net::HttpResponse respond(IncomingCall& call, net::HttpRequest& request, net::CancelSignal& cancel);
    /// The share with which the requests of a group of callers are refused.
    struct CallerRefusal {
        double share = 0;
        std::string_view excess_of;  ///< "zone" or "tenant" if it is refused more than its row; else empty.
    };

    /// Runs all checks that precede the attempts. Returns the failure if the request is refused.
    std::optional<CallFailure> prepare(const net::HttpRequest& request, IncomingCall& call);
    /// Authenticates the caller and sets the tenant and the priority.
    std::optional<CallFailure> admit_caller(const routing::Configuration& configuration,
                                            const net::HttpRequest& request, IncomingCall& call);
    /// Whether a client's request is refused because a service has no capacity.
    bool is_refused_early(IncomingCall& call);
    /// Determines whether the request was refused before; returns the share with which it is refused, given
    /// that of its group of callers and the admitted share of its row.
    double refused_share_by_standing(IncomingCall& call, const CallerRefusal& by_caller, double row_share);
    /// Returns the Retry-After of an early refusal; `usual`: the value without knowledge of the caller.
    milliseconds early_retry_after(const IncomingCall& call, milliseconds usual);
    /// Records an admitted client request, as a measure of the capacity for returns.
    void record_admitted(const IncomingCall& call);
    /// Records that a client was told to come back, so that returns aren't taken for fresh requests.
    void record_for_returns(const IncomingCall& call, ErrorKind error);
    /// Determines the origin of an admitted request.
    void attribute(IncomingCall& call);
    /// Counts a call of the local server whose parent is known or not.
    void on_attributed(bool is_known);
    /// Determines the share with which the request is refused by its zone and tenant.
    CallerRefusal refusal_by_caller(const IncomingCall& call, double row_share);
    /// Takes a token from the tenant's quota; may block the fiber briefly.
    std::optional<CallFailure> acquire_token(const routing::Configuration& configuration, IncomingCall& call);
    net::HttpResponse answer(const IncomingCall& call, net::HttpResponse response);
    net::HttpResponse fail(const IncomingCall& call, const CallFailure& failure, bool may_have_run);
    net::HttpResponse error_response(const CallFailure& failure, const std::string& request_id) const;
    void log(const IncomingCall& call, const std::string& outcome, bool served) const;

    SidecarContext& context_;
    ConfigurationHolder& configuration_;
    ProofKeeper& proofs_;
    QuotaExchange& quotas_;
    CrashExchange& crashes_;
    CallAttempts attempts_;
    routing::WeightedSplit split_;
    attribution::KnownShare known_parents_;
    ReturningState returning_;
};

}  // namespace anisehold::sidecar
