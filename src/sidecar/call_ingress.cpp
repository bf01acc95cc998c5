#include "sidecar/call_ingress.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "net/event_loop.hpp"
#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using hop::HopOutcome;
using membership::KnownServer;
using observability::Event;
using observability::log_event;
using retry::AttemptOutcome;
using retry::AttemptStep;

/// When a caller may come back if nothing better is known.
constexpr milliseconds kDefaultRetryAfter{200};
/// The answer must reach the client before its own time is up.
constexpr milliseconds kAnswerMargin{5};
/// An attempt that takes this many times the server's average is joined by another one.
constexpr int kHedgeFactor = 3;
constexpr milliseconds kLeastHedge{100};
/// Part of its target latency for which a request may wait at gates.
constexpr int kWaitPart = 4;
constexpr milliseconds kLeastWait{10};
constexpr double kPercent = 100;
/// Expected time of an answer while none was measured.
constexpr milliseconds kUnmeasuredLatency{150};

/// A daemon that was started has heard of its peers' servers by then: their records come at least once a
/// second, and a server that can't be asked for its health sends a heartbeat within some 1.5 s.
constexpr milliseconds kServersKnownAfter{3'000};

/// When a request may come back whose key can't be told to be in force: proofs are asked for this often.
constexpr milliseconds kUnprovenRetryAfter{300};
/// Longest time that the count of a tenant's requests is waited for: an owner that is gone is found out in
/// 180 ms, and the next one answers within a few milliseconds.
constexpr milliseconds kQuotaWait{400};

/// When a request that was refused early may come back, at the earliest and at the latest: callers that were
/// refused together must not come back together.
constexpr milliseconds kEarlyRefusalRetryAfter{250};
constexpr milliseconds kEarlyRefusalSpread{500};

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
    terms.ratio = settings.repeat_ratio;
    terms.extra = settings.repeat_extra;
    terms.window = settings.repeat_window;
    return terms;
}

AttemptOutcome outcome_of(const GateAnswer& answer) {
    constexpr unsigned first_server_error = 500;
    switch (answer.result.outcome) {
        case HopOutcome::kAnswered:
            return answer.response->status >= first_server_error ? AttemptOutcome::kFailedAnswer
                                                                 : AttemptOutcome::kAnswered;
        case HopOutcome::kNotSent:
            return AttemptOutcome::kNotSent;
        case HopOutcome::kRefusedByServer:
            return AttemptOutcome::kRefusedByServer;
        case HopOutcome::kUnknown:
            return AttemptOutcome::kUnknown;
    }
    return AttemptOutcome::kUnknown;
}

bool is_server_failure(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::kUnknown || outcome == AttemptOutcome::kRefusedByServer;
}

net::HttpRequest copy_of(const net::HttpRequest& request) {
    net::HttpRequest copy;
    copy.method = request.method;
    copy.target = request.target;
    copy.fields = request.fields;
    copy.body.prefix = request.body.prefix;
    copy.body.length = request.body.length;
    return copy;
}

}  // namespace

CallIngress::CallIngress(SidecarContext& context, ConfigurationHolder& configuration,
                         membership::PeerDirectory& directory, LocalGate& gate, FreshnessKeeper& freshness,
                         QuotaExchange& quotas)
    : context_(context),
      configuration_(configuration),
      directory_(directory),
      gate_(gate),
      freshness_(freshness),
      quotas_(quotas),
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
    return error_response({kind, kDefaultRetryAfter}, "");
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
        return Failure{ErrorKind::kNoTable, kDefaultRetryAfter};
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
    context_.origins.on_request(call.received, call.route);
    // A call that a server makes is never refused early: work has been done for it already.
    if (context_.origins.is_called_by_clients(call.route) && is_refused_early(call)) {
        const double part = context_.has(Mechanism::kRetryAfterSpread) ? context_.random_unit() : 0;
        const auto spread = static_cast<double>(kEarlyRefusalSpread.count()) * part;
        return Failure{ErrorKind::kOverloaded,
                       kEarlyRefusalRetryAfter + milliseconds(static_cast<long long>(spread))};
    }
    return take_token(*configuration, call);
}

std::optional<CallIngress::Failure> CallIngress::admit_caller(const routing::Configuration& configuration,
                                                              const net::HttpRequest& request, Call& call) {
    if (!configuration.has_tenants()) {
        return std::nullopt;
    }
    call.hides_key = true;
    const tenancy::CallerRules rules{call.terms.allows_anonymous, freshness_.longest_age()};
    const auto verdict = tenancy::judgeCaller(configuration.keys, freshness_.state(), call.received,
                                              context_.dialect.read_credentials(request), rules);
    switch (verdict.admission) {
        case tenancy::Admission::unauthorized:
            return Failure{ErrorKind::kUnauthorized};
        case tenancy::Admission::unproven:
            return Failure{ErrorKind::kKeyUnproven, kUnprovenRetryAfter};
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

retry::AttemptTerms CallIngress::terms_of(const Call& call, const net::HttpRequest& request, TimePoint now) {
    retry::AttemptTerms terms;
    // A body that is streamed can be sent once only.
    terms.may_repeat = may_repeat(call.terms.repeat) && request.body.whole();
    terms.most_servers = request.body.whole() ? call.terms.most_servers : 1;
    terms.deadline = call.deadline;
    terms.refuse_unsent_at = call.received + call.terms.target_latency / kWaitPart;
    if (context_.has(Mechanism::kServerWait)) {
        terms.servers_known_at = started_ + kServersKnownAfter;
    }
    const std::chrono::duration<double, std::micro> measured(
        directory_.servers_of(now, call.service).mean_latency_us);
    const auto average =
        measured.count() > 0 ? std::chrono::duration_cast<Duration>(measured) : Duration(kUnmeasuredLatency);
    terms.hedge_after = std::max<Duration>(kLeastHedge, kHedgeFactor * average);
    terms.may_hedge = context_.has(Mechanism::kHedging);
    return terms;
}

net::HttpResponse CallIngress::run(Call& call, net::HttpRequest& request, net::CancelSignal& cancel) {
    const bool is_root = context_.origins.is_called_by_clients(call.route);
    call.inherited_repeat = is_root ? 0 : gate_.repeat_share();
    if (!is_root) {
        overload::noteCallMade(context_.work, call.received, call.row);
    }
    budget_.on_request(call.received, call.service, call.inherited_repeat);
    Flight flight(terms_of(call, request, call.received));
    flight.streamed = !request.body.whole();
    flight.board->request = flight.streamed ? std::move(request) : copy_of(request);
    const net::CancelSubscription subscription(&cancel, [board = flight.board] { board->changed.give(); });
    AttemptStep step = AttemptStep::kWait;
    bool going_on = true;
    while (going_on) {
        take_outcomes(call, flight);
        const auto now = TimePoint::clock::now();
        const auto view = candidates(call.service, now);
        const auto* server = selection::chooseServer(selection_, now, view, call.tried,
                                                     [this] { return context_.random_unit(); });
        step = flight.plan.next(now, server != nullptr);
        const bool sends = step == AttemptStep::kLaunch || step == AttemptStep::kLaunchRepeat;
        const bool caller_left = sends ? cancel.check() : cancel.cancelled();
        going_on = !caller_left && advance(call, flight, step, server, now);
    }
    cancel_attempts(call, flight);
    if (cancel.cancelled()) {
        return fail(call, {ErrorKind::kCancelled}, true);
    }
    return conclude(call, flight, step);
}

bool CallIngress::advance(Call& call, Flight& flight, AttemptStep step, const KnownServer* server,
                          TimePoint now) {
    const auto send = [&](double repeat) {
        launch(call, flight, *server, repeat);
        flight.plan.on_launched(now);
    };
    switch (step) {
        case AttemptStep::kLaunch:
            send(call.inherited_repeat);
            return true;
        case AttemptStep::kLaunchRepeat:
            if (context_.has(Mechanism::kRepeats) &&
                budget_.try_repeat(now, call.service, directory_.known_count() + 1,
                                   flight.plan.repeat_reason())) {
                context_.metrics.count_retry(call.service);
                send(1);
            } else {
                flight.plan.on_repeat_refused();
            }
            return true;
        case AttemptStep::kWait:
            flight.board->changed.wait_until(flight.plan.wait_until(now));
            return true;
        default:
            return false;
    }
}

void CallIngress::cancel_attempts(Call& call, Flight& flight) const {
    for (const auto& attempt : flight.board->attempts) {
        if (attempt->ended) {
            continue;
        }
        attempt->cancel.cancel();
        // A streamed body is waited for below.
        if (!flight.streamed) {
            attempt->taken = true;
            flight.plan.on_given_up(attempt->progress.request_started);
        }
    }
    while (flight.streamed && flight.plan.running() > 0) {
        // The body is read off the client's connection, which must outlast the attempt.
        flight.board->changed.wait_until(TimePoint::clock::now() + kLeastHedge);
        take_outcomes(call, flight);
    }
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

void CallIngress::launch(Call& call, Flight& flight, const KnownServer& server, double repeat) {
    const auto& board = flight.board;
    const auto attempt = std::make_shared<Attempt>();
    attempt->server = server;
    attempt->started = TimePoint::clock::now();
    board->attempts.push_back(attempt);
    call.tried.push_back(server.server.instance);
    selection::noteSent(selection_, server.server.instance);
    hop::HopRequest hop_call;
    hop_call.instance = server.server.instance;
    hop_call.caller = context_.settings.service;
    hop_call.priority = call.terms.priority;
    hop_call.remaining = milliseconds(std::max(1LL, to_milliseconds(call.deadline - attempt->started)));
    const auto wait_ends = call.received + call.terms.target_latency / kWaitPart;
    hop_call.longest_wait = std::max(kLeastWait, milliseconds(to_milliseconds(wait_ends - attempt->started)));
    hop_call.repeat_percent = static_cast<unsigned>(std::lround(repeat * kPercent));
    hop_call.at_most_once = !may_repeat(call.terms.repeat);
    hop_call.row = call.row;
    net::EventLoop::spawn([this, board, attempt, hop_call, streamed = flight.streamed,
                           slow_after = flight.slow_after] {
        auto request = streamed ? std::move(board->request) : copy_of(board->request);
        const bool own = attempt->server.peer == context_.settings.name;
        attempt->answer = own ? gate_.run(std::move(request), hop_call, &attempt->cancel, attempt->progress)
                              : hops_.run(attempt->server, std::move(request), hop_call, &attempt->cancel,
                                          attempt->progress);
        attempt->ended = true;
        const auto now = TimePoint::clock::now();
        const selection::AttemptEnd end{attempt->cancel.cancelled(),
                                        is_server_failure(outcome_of(attempt->answer)),
                                        now - attempt->started, slow_after};
        selection::noteEnded(selection_, now, attempt->server.server.instance,
                             selection::speaksAgainstServer(end));
        board->changed.give();
    });
}

void CallIngress::take_outcomes(Call& call, Flight& flight) const {
    for (const auto& attempt : flight.board->attempts) {
        if (!attempt->ended || attempt->taken) {
            continue;
        }
        attempt->taken = true;
        const auto outcome = outcome_of(attempt->answer);
        flight.plan.on_outcome(outcome);
        const auto& result = attempt->answer.result;
        const bool answered = attempt->answer.response.has_value();
        if (outcome == AttemptOutcome::kAnswered || (answered && !flight.best)) {
            flight.best = attempt;
        }
        if (!answered) {
            flight.failure.error = result.error;
            flight.failure.retry_after = result.retry_after;
        }
        call.servers += (call.servers.empty() ? "" : " ") + attempt->server.server.instance + ":" +
                        (answered ? std::to_string(attempt->answer.response->status)
                                  : std::string(hop::outcome_name(result.outcome)) + "/" +
                                        std::string(answer_for(result.error).name)) +
                        ":" + std::to_string(to_milliseconds(TimePoint::clock::now() - attempt->started)) +
                        "ms:age" + std::to_string(to_milliseconds(attempt->started - attempt->server.heard));
    }
}

net::HttpResponse CallIngress::answer(Call& call, net::HttpResponse response) {
    context_.metrics.count_answer(call.route, response.status, TimePoint::clock::now() - call.received);
    constexpr unsigned first_server_error = 500;
    log(call, std::to_string(response.status), response.status < first_server_error);
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
        const auto wait = failure.retry_after > milliseconds(0) ? failure.retry_after : kDefaultRetryAfter;
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
                                     {"outcome", outcome}});
}

}  // namespace anisehold::sidecar
