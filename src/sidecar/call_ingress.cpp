#include "sidecar/call_ingress.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "observability/events.hpp"
#include "protocol/retry_after.hpp"
#include "sidecar/request_identity.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using observability::Event;
using observability::log_event;
using retry::AttemptStep;

/// The answer must reach the client before its own time is up.
constexpr milliseconds kAnswerMargin{5};

/// Longest time that the count of a tenant's requests is waited for: an owner that is gone is found out in
/// 180 ms, and the next one answers within a few milliseconds.
constexpr milliseconds kQuotaWait{400};

bool is_overload(ErrorKind error) {
    return error == ErrorKind::kOverloaded || error == ErrorKind::kQueueTimeout;
}

std::string host_of(const net::HttpRequest& request) {
    const auto host = request.fields.find("Host").value_or("");
    return std::string(host.substr(0, host.find(':')));
}

selection::SelectionRules selection_rules(const SidecarContext& context) {
    selection::SelectionRules rules;
    rules.prefersUsual = context.has(Mechanism::kUsualServers);
    rules.prefersOwnZone = context.has(Mechanism::kZonePreference);
    rules.sparesCold = context.has(Mechanism::kColdServers);
    rules.sparesFailing = context.has(Mechanism::kFailingServers);
    return rules;
}

retry::WindowBudgetTerms budget_terms(const config::SidecarSettings& settings) {
    retry::WindowBudgetTerms terms;
    terms.ratio = settings.retry_ratio;
    terms.extra = settings.retry_extra;
    terms.window = settings.retry_window;
    return terms;
}

}  // namespace

CallIngress::CallIngress(SidecarContext& context, ConfigurationHolder& configuration,
                         membership::PeerDirectory& directory, LocalGate& gate, ProofKeeper& proofs,
                         QuotaExchange& quotas, CrashExchange& crashes)
    : context_(context),
      configuration_(configuration),
      directory_(directory),
      gate_(gate),
      proofs_(proofs),
      quotas_(quotas),
      crashes_(crashes),
      hops_(context, directory),
      selection_{context.settings.zone, {}, {}, selection_rules(context)},
      budget_(budget_terms(context.settings), TimePoint::clock::now()),
      started_(TimePoint::clock::now()) {}

void CallIngress::apply_settings() {
    budget_.set_terms(budget_terms(context_.settings));
}

net::HttpResponse CallIngress::reject(ErrorKind kind) {
    context_.metrics.count_error("", kind);
    log_event(Event::kIngressCall, {{"outcome", std::string(answer_for(kind).name)}});
    return error_response({kind, retry_after::kSidecarDefault}, "");
}

net::HttpResponse CallIngress::handle(net::HttpRequest& request, net::CancelSignal& cancel) {
    Call call;
    if (const auto failure = prepare(request, call)) {
        return fail(call, *failure, false);
    }
    request.fields.remove(hop::kRequestHeader);
    if (call.hides_key) {
        context_.dialect.write_tenant(request, call.tenant);
    }
    return run(call, request, cancel);
}

std::optional<CallIngress::Failure> CallIngress::prepare(const net::HttpRequest& request, Call& call) {
    call.received = TimePoint::clock::now();
    const auto client = context_.dialect.read_client_call(request);
    call.request_id = client.id;
    const auto configuration = configuration_.current();
    if (!configuration) {
        return Failure{ErrorKind::kNoTable, retry_after::kSidecarDefault};
    }
    call.configuration_version = configuration->version;
    const auto* route = configuration->find(host_of(request), routing::path_of(request.target));
    if (route == nullptr) {
        return Failure{ErrorKind::kUnknownService};
    }
    if (client.id.empty()) {
        return Failure{ErrorKind::kBadRequest};
    }
    call.terms = *route;
    call.route = route->name;
    if (const auto failure = admit_caller(*configuration, request, call)) {
        return failure;
    }
    call.row = call.route + "/" + std::to_string(call.terms.priority);
    // What a part has no room for is refused, not moved: operators rely on the shares.
    call.service = split_.next(*route, context_.random_unit());
    const auto allowed = client.time_left ? std::min(*client.time_left, route->timeout) : route->timeout;
    call.deadline = call.received + std::max(allowed - kAnswerMargin, milliseconds(1));
    call.identity = identity_of(request, context_.settings.service);
    if (crashes_.is_condemned(call.received, call.identity)) {
        return Failure{ErrorKind::kCrashesServers};
    }
    context_.origins.on_request(call.received, call.route);
    // A call that a server makes is never refused early: work has been done for it already.
    if (context_.origins.is_called_by_clients(call.route) && is_refused_early(call)) {
        const double part = context_.has(Mechanism::kRetryAfterSpread) ? context_.random_unit() : 0;
        const auto spread = static_cast<double>(retry_after::kRefusedEarlySpread.count()) * part;
        return Failure{ErrorKind::kOverloaded,
                       retry_after::kRefusedEarly + milliseconds(static_cast<long long>(spread))};
    }
    return take_token(*configuration, call);
}

std::optional<CallIngress::Failure> CallIngress::admit_caller(const routing::Configuration& configuration,
                                                              const net::HttpRequest& request, Call& call) {
    if (!configuration.has_tenants()) {
        return std::nullopt;
    }
    call.hides_key = true;
    const tenancy::CallerRules rules{call.terms.allows_anonymous, proofs_.longest_age()};
    const auto verdict = tenancy::judgeCaller(configuration.keys, proofs_.state(), call.received,
                                              context_.dialect.read_credentials(request), rules);
    switch (verdict.admission) {
        case tenancy::Admission::unauthorized:
            return Failure{ErrorKind::kUnauthorized};
        case tenancy::Admission::unproven:
            return Failure{ErrorKind::kKeyUnproven, retry_after::kKeyUnproven};
        case tenancy::Admission::anonymous:
            break;
        case tenancy::Admission::known:
            call.tenant = verdict.tenant->name;
    }
    call.terms.priority = tenancy::rankOf(configuration.keys, verdict.tenant, call.terms.priority);
    return std::nullopt;
}

std::optional<CallIngress::Failure> CallIngress::take_token(const routing::Configuration& configuration,
                                                            Call& call) {
    const auto* tenant = tenancy::termsOf(configuration.keys, call.tenant);
    if (tenant == nullptr || !tenant->quota.isLimited() || !context_.has(Mechanism::kQuotas)) {
        return std::nullopt;
    }
    const auto decision =
        quotas_.take(*tenant, std::min<TimePoint>(call.deadline, call.received + kQuotaWait));
    const milliseconds retry_after(to_milliseconds(decision.retry_after));
    switch (decision.verdict) {
        case QuotaDecision::Verdict::kExceeded:
            return Failure{ErrorKind::kQuotaExceeded, retry_after};
        case QuotaDecision::Verdict::kUnknown:
            return Failure{ErrorKind::kQuotaUnknown, retry_after};
        case QuotaDecision::Verdict::kServe:
            call.holds_token = true;
    }
    return std::nullopt;
}

bool CallIngress::is_refused_early(const Call& call) {
    const overload::RootRow row{call.row, call.terms.priority};
    overload::noteOffered(context_.root_limit, call.received, row);
    return context_.has(Mechanism::kEarlyRefusal) &&
           context_.random_unit() < overload::refusedShare(context_.root_limit, row);
}

membership::ServiceView CallIngress::candidates(const std::string& service, TimePoint now) {
    auto view = directory_.servers_of(now, service);
    own_servers_.clear();
    if (!gate_.serves(service)) {
        return view;
    }
    for (auto& own : gate_.records(now)) {
        if (own.service == service) {
            own_servers_.push_back({std::move(own), context_.settings.name, context_.settings.zone,
                                    context_.settings.hops, context_.boot_id, now});
        }
    }
    for (const auto& own : own_servers_) {
        view.near.push_back(&own);
        view.own = &own;
    }
    return view;
}

net::HttpResponse CallIngress::conclude(Call& call, Flight& flight, AttemptStep step) {
    if (flight.best && (step == AttemptStep::kDeliver || step == AttemptStep::kTimeUp)) {
        note_overload(call, nullptr, &flight.best->answer);
        return answer(call, std::move(*flight.best->answer.response));
    }
    if (step == AttemptStep::kTimeUp) {
        flight.failure.error =
            flight.plan.may_have_run() ? ErrorKind::kDeadlineExceeded : ErrorKind::kQueueTimeout;
    } else if (step == AttemptStep::kFail) {
        flight.failure.error = ErrorKind::kOutcomeUnknown;
    }
    note_overload(call, &flight.failure, nullptr);
    return fail(call, flight.failure, flight.plan.may_have_run());
}

void CallIngress::note_overload(const Call& call, const Failure* failure, const GateAnswer* answered) {
    const bool refused = failure != nullptr && is_overload(failure->error);
    const bool was_calm = !overload::isUnderPressure(context_.root_limit);
    overload::noteCallEnded(context_.root_limit, call.service, refused);
    if (refused && was_calm && context_.has(Mechanism::kOnsetReports)) {
        context_.pressure_rose.give();
    }
    const auto now = TimePoint::clock::now();
    const bool is_root = context_.origins.is_called_by_clients(call.route);
    if (refused) {
        context_.last_overload = {now, call.service};
        if (is_root) {
            overload::noteReach(context_.root_limit, call.row, call.service);
        }
    } else if (answered != nullptr && !answered->result.overloaded_service.empty()) {
        const auto& below = answered->result.overloaded_service;
        context_.last_overload = {now, below};
        if (is_root) {
            overload::noteFailedBelow(context_.root_limit, now, call.row, below);
        }
    }
}

net::HttpResponse CallIngress::answer(Call& call, net::HttpResponse response) {
    context_.metrics.count_answer(call.route, response.status, TimePoint::clock::now() - call.received);
    log(call, std::to_string(response.status), !net::is_server_error(response.status));
    return response;
}

net::HttpResponse CallIngress::fail(Call& call, const Failure& failure, bool may_have_run) {
    auto given = failure;
    const auto& kind = answer_for(given.error);
    const bool hides_a_run = may_have_run && kind.execution == Execution::kNotRun;
    const bool fears_a_run =
        !may_have_run && kind.execution == Execution::kMayHaveRun && given.error != ErrorKind::kCancelled;
    if (hides_a_run) {
        // A refusal would promise that the request has not run.
        given.error = ErrorKind::kOutcomeUnknown;
    } else if (fears_a_run || given.error == ErrorKind::kConnectFailed) {
        given.error = ErrorKind::kNoBackend;
    }
    if (call.holds_token && !may_have_run) {
        quotas_.give_back(call.tenant);
    }
    context_.metrics.count_error(call.route, given.error);
    log(call, std::string(answer_for(given.error).name), false);
    return error_response(given, call.request_id);
}

net::HttpResponse CallIngress::error_response(const Failure& failure, const std::string& request_id) const {
    const auto& kind = answer_for(failure.error);
    const nlohmann::ordered_json problem{
        {"title", kind.title}, {"status", kind.http_status}, {"kind", kind.name}, {"request_id", request_id}};
    auto response =
        net::make_response(kind.http_status, "application/problem+json",
                           problem.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
    if (!request_id.empty()) {
        const auto echo = context_.dialect.echoed_field(request_id);
        response.fields.set(echo.name, echo.value);
    }
    if (kind.come_back == ComeBack::kSoon && kind.execution == Execution::kNotRun) {
        const auto wait =
            failure.retry_after > milliseconds(0) ? failure.retry_after : retry_after::kSidecarDefault;
        context_.dialect.write_retry_after(response, wait);
    }
    return response;
}

void CallIngress::log(const Call& call, const std::string& outcome, bool served) const {
    const auto now = TimePoint::clock::now();
    const auto write_line = served ? observability::log_routine : log_event;
    write_line(Event::kIngressCall, {{"request_id", call.request_id},
                                     {"route", call.route},
                                     {"tenant", call.tenant.value},
                                     {"version", std::to_string(call.configuration_version)},
                                     {"service", call.service},
                                     {"attempts", call.servers},
                                     {"taken_ms", std::to_string(to_milliseconds(now - call.received))},
                                     {"time_left_ms", std::to_string(to_milliseconds(call.deadline - now))},
                                     {"digest", call.identity.digest.text()},
                                     {"outcome", outcome}});
}

}  // namespace anisehold::sidecar
