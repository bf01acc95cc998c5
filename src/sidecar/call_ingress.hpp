/// @file
/// Takes requests of this machine's clients and server, and sees each to its final answer.
///
/// The questions are asked in this order. Each names the file of its rule, and the error kinds that a refusal
/// gives the caller; their status and whether the caller may come back are in protocol/error_kind.cpp.
///
///  1. Is there a configuration? sidecar/configuration_holder; `kNoTable`.
///  2. Does a route match? routing/configuration; `kUnknownService`.
///  3. Does the request have an id? The dialect; `kBadRequest`.
///  4. Who calls, with which priority? tenancy/caller_verdict; `kUnauthorized`, `kKeyUnproven`.
///  5. Which service takes it? routing/weighted_split.
///  6. Is it known to crash servers? suspects/crash_ledger; `kCrashesServers`.
///  7. If a client sent it (admission/origin_estimator): is there capacity? overload/root_limit;
///     `kOverloaded`.
///  8. Is its tenant within the quota? tenancy/token_cache, tenancy/quota_bucket; `kQuotaExceeded`,
///     `kQuotaUnknown`.
///  9. Which server is it sent to, and how often? sidecar/call_attempts; see there.
/// 10. Does that server's gate admit it? sidecar/local_gate; see there.
///
/// Only the last three block the request's fiber.
#pragma once

#include <optional>
#include <string>

#include "net/http_types.hpp"
#include "protocol/error_kind.hpp"
#include "routing/weighted_split.hpp"
#include "sidecar/call_attempts.hpp"
#include "sidecar/configuration_holder.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/incoming_call.hpp"
#include "sidecar/proof_keeper.hpp"
#include "sidecar/quota_exchange.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Decides what happens to a request before it is sent, and makes the answer of how its attempts ended.
class CallIngress {
  public:
    CallIngress(SidecarContext& context, ConfigurationHolder& configuration,
                membership::PeerDirectory& directory, LocalGate& gate, ProofKeeper& proofs,
                QuotaExchange& quotas, CrashExchange& crashes);

    /// Answers one request; blocks its fiber until then.
    net::HttpResponse handle(net::HttpRequest& request, net::CancelSignal& cancel);
    /// Answers a request that could not be read.
    net::HttpResponse reject(ErrorKind kind);
    /// Follows changed settings.
    void apply_settings() { attempts_.apply_settings(); }

  private:
    /// Asks all questions before the attempts; what the request is refused with, if it is.
    std::optional<CallFailure> prepare(const net::HttpRequest& request, IncomingCall& call);
    /// Finds out whose request it is, and whether it may be served.
    std::optional<CallFailure> admit_caller(const routing::Configuration& configuration,
                                            const net::HttpRequest& request, IncomingCall& call);
    /// Whether a client's request would meet a service without capacity.
    bool is_refused_early(const IncomingCall& call);
    /// Counts the request against its tenant's quota; blocks its fiber for a moment.
    std::optional<CallFailure> take_token(const routing::Configuration& configuration, IncomingCall& call);
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
};

}  // namespace anisehold::sidecar
