#include "sidecar/call_ingress.hpp"

#include <algorithm>

#include "net/problem_document.hpp"
#include "observability/events.hpp"
#include "protocol/retry_after.hpp"
#include "sidecar/request_identity.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using observability::Event;
using observability::log_event;

/// Time reserved for sending the response to the client before its deadline.
constexpr milliseconds kAnswerMargin{5};

/// Maximum wait for a quota token: an owner that is gone is detected within 180 ms, and the next one replies
/// within a few milliseconds.
constexpr milliseconds kQuotaWait{400};

/// A request counts as refused for its caller's excess if its group's share is below that of the row by this.
constexpr double kMinCountedExcess = 0.02;

std::string host_of(const net::HttpRequest& request) {
    const auto host = request.fields.find("Host").value_or("");
    return std::string(host.substr(0, host.find(':')));
}

/// Groups of callers, as named in metrics.
constexpr std::string_view kTenantGroup = "tenant";
constexpr std::string_view kZoneGroup = "zone";

}  // namespace

CallIngress::CallIngress(SidecarContext& context, ConfigurationHolder& configuration,
                         membership::PeerDirectory& directory, LocalGate& gate, ProofKeeper& proofs,
                         QuotaExchange& quotas, CrashExchange& crashes)
    : context_(context),
      configuration_(configuration),
      proofs_(proofs),
      quotas_(quotas),
      crashes_(crashes),
      attempts_(context, directory, gate, crashes) {}

net::HttpResponse CallIngress::reject(ErrorKind kind) {
    context_.metrics.count_error("", kind);
    log_event(Event::kIngressCall, {{"outcome", std::string(answer_for(kind).name)}});
    return error_response({kind, retry_after::kSidecarDefault}, "");
}

net::HttpResponse CallIngress::handle(net::HttpRequest& request, net::CancelSignal& cancel) {
    IncomingCall call;
    auto response = respond(call, request, cancel);
    // A caller that names no deadline waits for the route's timeout.
    response.needed_until = call.received + call.stated_time_left.value_or(call.terms.timeout);
    return response;
}

net::HttpResponse CallIngress::respond(IncomingCall& call, net::HttpRequest& request,
                                       net::CancelSignal& cancel) {
    if (const auto failure = prepare(request, call)) {
        return fail(call, *failure, false);
    }
    request.fields.remove(hop::kRequestHeader);
    if (call.hides_key) {
        context_.dialect.write_tenant(request, call.tenant);
    }
    if (call.is_root) {
        context_.overload.on_admitted(call.row);
        record_admitted(call);
    }
    attribute(call);
    auto end = attempts_.run(call, request, cancel);
    attribution::recordCallEnded(context_.attribution, call.origin);
    if (call.is_root) {
        context_.overload.on_admitted_ended(call.row, TimePoint::clock::now() - call.received);
    }
    return end.response ? answer(call, std::move(*end.response)) : fail(call, end.failure, end.may_have_run);
}

std::optional<CallFailure> CallIngress::prepare(const net::HttpRequest& request, IncomingCall& call) {
    call.received = TimePoint::clock::now();
    const auto client = context_.dialect.read_client_call(request);
    call.request_id = client.id;
    call.stated_time_left = client.time_left;
    const auto configuration = configuration_.current();
    if (!configuration) {
        return CallFailure{ErrorKind::kNoTable, retry_after::kSidecarDefault};
    }
    call.configuration_version = configuration->version;
    const auto* route = configuration->find(host_of(request), routing::path_of(request.target));
    if (route == nullptr) {
        return CallFailure{ErrorKind::kUnknownService};
    }
    if (client.id.empty()) {
        return CallFailure{ErrorKind::kBadRequest};
    }
    call.terms = *route;
    call.route = route->name;
    if (const auto failure = admit_caller(*configuration, request, call)) {
        return failure;
    }
    call.row = call.route + "/" + std::to_string(call.terms.priority);
    // If the chosen service of a split has no capacity, the request is refused and not moved to another one:
    // operators rely on the configured shares.
    call.service = split_.next(*route, context_.random_unit());
    const auto allowed = client.time_left ? std::min(*client.time_left, route->timeout) : route->timeout;
    call.deadline = call.received + std::max(allowed - kAnswerMargin, milliseconds(1));
    call.identity = identity_of(request, context_.settings.service);
    if (crashes_.is_condemned(call.received, call.identity)) {
        return CallFailure{ErrorKind::kCrashesServers};
    }
    context_.origins.on_request(call.received, call.route);
    // Calls made by servers are never refused early, because work has already been done for them.
    call.is_root = context_.origins.is_called_by_clients(call.route);
    if (call.is_root && is_refused_early(call)) {
        const double part = context_.has(Mechanism::kRetryAfterJitter) ? context_.random_unit() : 0;
        const auto spread = static_cast<double>(retry_after::kRefusedEarlySpread.count()) * part;
        const auto usual = retry_after::kRefusedEarly + milliseconds(static_cast<long long>(spread));
        return CallFailure{ErrorKind::kOverloaded, early_retry_after(call, usual)};
    }
    return acquire_token(*configuration, call);
}

void CallIngress::attribute(IncomingCall& call) {
    if (!context_.has(Mechanism::kCallAttribution)) {
        return;
    }
    if (call.is_root) {
        call.origin.root = attribution::Root{call.row, call.terms.priority};
    } else if (call.stated_time_left) {
        call.origin =
            attribution::matchCall(context_.attribution, {call.received, *call.stated_time_left, call.row});
        on_attributed(call.origin.run.has_value());
    }
}

void CallIngress::on_attributed(bool is_known) {
    context_.metrics.count_attributed_call(is_known);
    if (attribution::recordCall(known_parents_, TimePoint::clock::now(), is_known)) {
        log_event(Event::kCallAttribution,
                  {{"known", known_parents_.areMostKnown.value_or(false) ? "yes" : "no"},
                   {"share", std::to_string(attribution::knownShareOf(known_parents_))}});
    }
}

std::optional<CallFailure> CallIngress::admit_caller(const routing::Configuration& configuration,
                                                     const net::HttpRequest& request, IncomingCall& call) {
    if (!configuration.has_tenants()) {
        return std::nullopt;
    }
    call.hides_key = true;
    const tenancy::CallerRules rules{call.terms.allows_anonymous, proofs_.max_age()};
    const auto verdict = tenancy::judgeCaller(configuration.keys, proofs_.state(), call.received,
                                              context_.dialect.read_credentials(request), rules);
    switch (verdict.admission) {
        case tenancy::Admission::unauthorized:
            return CallFailure{ErrorKind::kUnauthorized};
        case tenancy::Admission::unproven:
            return CallFailure{ErrorKind::kKeyUnproven, retry_after::kKeyUnproven};
        case tenancy::Admission::anonymous:
            break;
        case tenancy::Admission::known:
            call.tenant = verdict.tenant->name;
    }
    call.terms.priority = tenancy::rankOf(configuration.keys, verdict.tenant, call.terms.priority);
    return std::nullopt;
}

std::optional<CallFailure> CallIngress::acquire_token(const routing::Configuration& configuration,
                                                      IncomingCall& call) {
    const auto* tenant = tenancy::termsOf(configuration.keys, call.tenant);
    if (tenant == nullptr || !tenant->quota.isLimited() || !context_.has(Mechanism::kQuotas)) {
        return std::nullopt;
    }
    const auto decision =
        quotas_.take(*tenant, std::min<TimePoint>(call.deadline, call.received + kQuotaWait));
    const milliseconds retry_after(to_milliseconds(decision.retry_after));
    switch (decision.verdict) {
        case QuotaDecision::Verdict::kExceeded:
            return CallFailure{ErrorKind::kQuotaExceeded, retry_after};
        case QuotaDecision::Verdict::kUnknown:
            return CallFailure{ErrorKind::kQuotaUnknown, retry_after};
        case QuotaDecision::Verdict::kServe:
            call.holds_token = true;
    }
    return std::nullopt;
}

bool CallIngress::is_refused_early(IncomingCall& call) {
    const double share = context_.overload.on_offered(call.received, {call.row, call.terms.priority});
    if (!context_.has(Mechanism::kCallerFairness) && !context_.has(Mechanism::kReturningCallers)) {
        return context_.has(Mechanism::kEarlyRefusal) && context_.random_unit() < share;
    }
    const double row_share = context_.overload.admitted_share({call.row, call.terms.priority});
    const auto by_caller = context_.has(Mechanism::kCallerFairness) ? refusal_by_caller(call, row_share)
                                                                    : CallerRefusal{share, ""};
    const double refused = refused_share_by_standing(call, by_caller, row_share);
    const bool is_refused = context_.has(Mechanism::kEarlyRefusal) && context_.random_unit() < refused;
    if (is_refused && !by_caller.excess_of.empty()) {
        context_.metrics.count_excess_refusal(by_caller.excess_of);
    }
    if (share > 0 && call.standing != returning::Standing::fresh) {
        context_.metrics.count_returning(!is_refused);
    }
    return is_refused;
}

double CallIngress::refused_share_by_standing(IncomingCall& call, const CallerRefusal& by_caller,
                                              double row_share) {
    const double refused = by_caller.share;
    if (!context_.has(Mechanism::kReturningCallers) || !call.stated_time_left) {
        return refused;
    }
    auto& deadlines = returning_.deadlines;
    const bool is_row_limited = row_share < 1;
    returning::recordArrival(deadlines, call.received, call.route, *call.stated_time_left,
                             refused > 0 || is_row_limited);
    const auto smallest = returning::smallestFresh(deadlines, call.received, call.route);
    call.standing = returning::standingOf({*call.stated_time_left, smallest.value_or(milliseconds(0)),
                                           call.terms.target_latency, retry_after::kRefusedEarly,
                                           context_.overload.mean_time(call.row)});
    if (refused > 0 && call.standing == returning::Standing::unservable) {
        return 1;
    }
    const bool takes_precedence = call.standing == returning::Standing::returning;
    // A tenant in excess pays for its own returns.
    const auto payer = by_caller.excess_of == kTenantGroup ? call.row + '\n' + call.tenant.value : call.row;
    return 1 -
           returning::grantShare(returning_.precedence, payer, 1 - refused, takes_precedence, is_row_limited);
}

milliseconds CallIngress::early_retry_after(const IncomingCall& call, milliseconds usual) {
    if (!context_.has(Mechanism::kReturningCallers) || !call.stated_time_left) {
        return usual;
    }
    returning::RefusedRequest request;
    request.timeLeft = *call.stated_time_left;
    request.smallestFresh =
        returning::smallestFresh(returning_.deadlines, call.received, call.route).value_or(milliseconds(0));
    request.targetLatency = call.terms.target_latency;
    request.meanTime = context_.overload.mean_time(call.row);
    request.isReturning = call.standing != returning::Standing::fresh;
    request.usual = usual;
    request.earliest = retry_after::kRefusedEarly;
    request.random = context_.has(Mechanism::kRetryAfterJitter) ? context_.random_unit() : 0;
    return returning::chooseReturnTime(returning_.times, call.received, call.row, request);
}

void CallIngress::record_admitted(const IncomingCall& call) {
    if (context_.has(Mechanism::kReturningCallers)) {
        returning::recordAdmitted(returning_.times, call.received, call.row);
    }
}

void CallIngress::record_for_returns(const IncomingCall& call, ErrorKind error) {
    const auto& kind = answer_for(error);
    // Requests over their tenant's quota are refused at any time, so that nothing would be learned.
    const bool is_quota = error == ErrorKind::kQuotaExceeded || error == ErrorKind::kQuotaUnknown;
    if (context_.has(Mechanism::kReturningCallers) && call.is_root && !is_quota &&
        kind.retry_advice == RetryAdvice::kSoon) {
        returning::recordRefusal(returning_.deadlines, TimePoint::clock::now(), call.route);
    }
}

CallIngress::CallerRefusal CallIngress::refusal_by_caller(const IncomingCall& call, double row_share) {
    const auto share = context_.callers.on_offered(call.received, call.row, call.tenant.value, row_share);
    // The correction stabilizes all requests of this daemon in the row, whatever their group.
    const double correction =
        share.own > 0 ? context_.overload.corrected_share(call.row, share.own) / share.own : 1;
    CallerRefusal refusal;
    refusal.share = std::clamp(1 - share.group * correction, 0.0, 1.0);
    if (share.group < row_share - kMinCountedExcess) {
        refusal.excess_of = share.is_of_tenant ? kTenantGroup : kZoneGroup;
    }
    return refusal;
}

net::HttpResponse CallIngress::answer(const IncomingCall& call, net::HttpResponse response) {
    context_.metrics.count_answer(call.route, response.status, TimePoint::clock::now() - call.received);
    context_.call_completion.on_response(call.row, call.received, response);
    log(call, std::to_string(response.status), !net::is_server_error(response.status));
    return response;
}

net::HttpResponse CallIngress::fail(const IncomingCall& call, const CallFailure& failure, bool may_have_run) {
    const CallFailure given{error_for_caller(failure.error, may_have_run), failure.retry_after};
    if (call.holds_token && !may_have_run) {
        quotas_.return_token(call.tenant);
    }
    record_for_returns(call, given.error);
    context_.metrics.count_error(call.route, given.error);
    log(call, std::string(answer_for(given.error).name), false);
    return error_response(given, call.request_id);
}

net::HttpResponse CallIngress::error_response(const CallFailure& failure,
                                              const std::string& request_id) const {
    const auto& kind = answer_for(failure.error);
    auto response = net::problem_response({failure.error, request_id, {}, std::nullopt, std::nullopt});
    if (!request_id.empty()) {
        const auto echo = context_.dialect.echoed_field(request_id);
        response.fields.set(echo.name, echo.value);
    }
    if (kind.retry_advice == RetryAdvice::kSoon && kind.execution == Execution::kNotRun) {
        const auto wait =
            failure.retry_after > milliseconds(0) ? failure.retry_after : retry_after::kSidecarDefault;
        context_.dialect.write_retry_after(response, wait);
    }
    return response;
}

void CallIngress::log(const IncomingCall& call, const std::string& outcome, bool served) const {
    const auto now = TimePoint::clock::now();
    const auto write_line = served ? observability::log_routine : log_event;
    const auto write = [&](const auto&... more) {
        write_line(Event::kIngressCall,
                   {{"request_id", call.request_id},
                    {"route", call.route},
                    {"tenant", call.tenant.value},
                    {"version", std::to_string(call.configuration_version)},
                    {"service", call.service},
                    {"attempts", call.attempts},
                    {"taken_ms", std::to_string(to_milliseconds(now - call.received))},
                    {"time_left_ms", std::to_string(to_milliseconds(call.deadline - now))},
                    {"digest", call.identity.digest.text()},
                    {"outcome", outcome},
                    more...});
    };
    if (context_.has(Mechanism::kReturningCallers) && call.is_root) {
        write(observability::EventField{"returning", returning::nameOf(call.standing)});
    } else {
        write();
    }
}

}  // namespace anisehold::sidecar
