#include "sidecar/call_attempts.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "net/event_loop.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using membership::KnownServer;
using retry::AttemptOutcome;
using retry::AttemptStep;

/// A hedge is started once an attempt has taken this multiple of the service's average latency.
constexpr int kHedgeFactor = 3;
/// Minimum delay before a hedge is started.
constexpr milliseconds kMinHedgeDelay{100};
/// Poll interval while waiting for canceled attempts with a streamed body to end.
constexpr milliseconds kCancelPollInterval{100};
/// A request may wait at gates for this fraction of its target latency. During an overload, requests of
/// higher priority keep overtaking a waiting request, so the wait estimated on arrival is too short; without
/// this bound many responses arrive too late.
constexpr int kGateWaitDivisor = 4;
/// Minimum time that a request may wait at a gate.
constexpr milliseconds kMinGateWait{10};
constexpr double kPercent = 100;
/// Latency assumed for a service that has no measured latency yet.
constexpr milliseconds kDefaultLatency{150};
/// Time after its start by which a daemon knows the servers of its peers: peer records arrive at least once a
/// second, and a server that can't be probed sends a heartbeat within about 1.5 s.
constexpr milliseconds kServerDiscoveryTime{3'000};

retry::WindowBudgetTerms budget_terms(const config::SidecarSettings& settings) {
    retry::WindowBudgetTerms terms;
    terms.ratio = settings.retry_ratio;
    terms.extra = settings.retry_extra;
    terms.window = settings.retry_window;
    return terms;
}

bool is_overload(ErrorKind error) {
    return error == ErrorKind::kOverloaded || error == ErrorKind::kQueueTimeout;
}

/// Whether the request ended because servers declined it, and no retry was left.
bool is_decline(ErrorKind error) {
    return error == ErrorKind::kBackendRefused || error == ErrorKind::kRetriesExhausted;
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

/// Time at which the request stops waiting at gates.
TimePoint gate_wait_deadline(const IncomingCall& call) {
    return call.received + call.terms.target_latency / kGateWaitDivisor;
}

/// Describes an ended attempt for the log: server, status or outcome, duration, and age of the server's
/// record when the attempt started.
std::string describe_attempt(const std::string& instance, const GateAnswer& answer, Duration elapsed,
                             Duration age) {
    const auto& result = answer.result;
    const auto end = answer.response ? std::to_string(answer.response->status)
                                     : std::string(hop::outcome_name(result.outcome)) + "/" +
                                           std::string(answer_for(result.error).name);
    return instance + ":" + end + ":" + std::to_string(to_milliseconds(elapsed)) + "ms:age" +
           std::to_string(to_milliseconds(age));
}

/// Writes the origin of the request, as far as it is known, for the gate.
void write_origin(const IncomingCall& call, hop::HopRequest& hop_call) {
    if (call.origin.root) {
        hop_call.root_row = call.origin.root->row;
        hop_call.root_priority = call.origin.root->priority;
        hop_call.made = call.origin.made;
    }
}

}  // namespace

CallAttempts::CallAttempts(SidecarContext& context, membership::PeerDirectory& directory, LocalGate& gate,
                           CrashExchange& crashes)
    : context_(context),
      directory_(directory),
      gate_(gate),
      crashes_(crashes),
      hops_(context, directory),
      chooser_(context, directory, gate, crashes),
      budget_(budget_terms(context.settings), TimePoint::clock::now()),
      started_(TimePoint::clock::now()) {}

void CallAttempts::apply_settings() {
    gate_.apply_settings();
    budget_.set_terms(budget_terms(context_.settings));
}

AttemptsResult CallAttempts::run(IncomingCall& call, net::HttpRequest& request, net::CancelSignal& cancel) {
    RequestState state(call, terms_of(call, request, call.received));
    const bool is_root = context_.origins.is_called_by_clients(call.route);
    state.inherited_retry = is_root ? 0 : gate_.retry_share();
    if (!is_root) {
        context_.overload.on_call_made(call.received, call.row, call.origin.parentRow);
    }
    budget_.on_request(call.received, call.service, state.inherited_retry);
    state.streamed = !request.body.whole();
    state.attempt_set->request = state.streamed ? std::move(request) : copy_of(request);
    open_.insert(&state);
    auto result = run_plan(call, state, cancel);
    open_.erase(&state);
    return result;
}

AttemptsResult CallAttempts::run_plan(IncomingCall& call, RequestState& state, net::CancelSignal& cancel) {
    const net::CancelSubscription subscription(
        &cancel, [attempt_set = state.attempt_set] { attempt_set->changed.notify(); });
    AttemptStep step = AttemptStep::kWait;
    bool active = true;
    while (active) {
        process_outcomes(call, state);
        const auto now = TimePoint::clock::now();
        const auto* server = choose_server(call, state, now);
        step = state.plan.next(now, server != nullptr);
        const bool sends = step == AttemptStep::kLaunch || step == AttemptStep::kLaunchRetry;
        if (sends && crashes_.is_condemned(now, call.identity)) {
            return {std::nullopt, {ErrorKind::kCrashesServers}, state.plan.may_have_run()};
        }
        if ((sends || step == AttemptStep::kWait) && context_.stop.ends_requests()) {
            return end_at_stop(call, state, now);
        }
        if (step == AttemptStep::kLaunch && !can_complete(call, now)) {
            return {std::nullopt, stopping_failure(now), state.plan.may_have_run()};
        }
        const bool caller_left = sends ? cancel.check() : cancel.cancelled();
        active = !caller_left && advance(call, state, step, server, now);
    }
    cancel_attempts(call, state);
    if (cancel.cancelled()) {
        return {std::nullopt, {ErrorKind::kCancelled}, true};
    }
    return conclude(call, state, step);
}

AttemptsResult CallAttempts::end_at_stop(IncomingCall& call, RequestState& state, TimePoint now) {
    cancel_attempts(call, state);
    if (state.best) {
        return conclude(call, state, AttemptStep::kDeliver);
    }
    return {std::nullopt, stopping_failure(now), state.plan.may_have_run()};
}

void CallAttempts::end_requests() {
    for (const auto* state : open_) {
        state->attempt_set->changed.notify();
    }
}

bool CallAttempts::is_sent(const RequestState& state) {
    const auto& attempts = state.attempt_set->attempts;
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const auto& attempt) { return attempt->progress.request_started; });
}

OpenRequests CallAttempts::open_requests(TimePoint now) const {
    OpenRequests found;
    for (const auto* state : open_) {
        const auto& attempts = state->attempt_set->attempts;
        found.push_back({state->call.request_id, state->call.service,
                         attempts.empty() ? "" : attempts.back()->server.server.instance,
                         now - state->call.received, is_sent(*state)});
    }
    return found;
}

retry::AttemptTerms CallAttempts::terms_of(const IncomingCall& call, const net::HttpRequest& request,
                                           TimePoint now) const {
    retry::AttemptTerms terms;
    // A streamed body can be sent only once.
    terms.may_retry = may_retry(call.terms.retry) && request.body.whole();
    terms.max_servers = request.body.whole() ? call.terms.max_servers : 1;
    terms.deadline = call.deadline;
    terms.refuse_unsent_at = gate_wait_deadline(call);
    if (context_.has(Mechanism::kStartupServerWait)) {
        terms.servers_known_at = started_ + kServerDiscoveryTime;
    }
    const std::chrono::duration<double, std::micro> measured(
        directory_.servers_of(now, call.service).mean_latency_us);
    const auto average =
        measured.count() > 0 ? std::chrono::duration_cast<Duration>(measured) : Duration(kDefaultLatency);
    terms.hedge_after = std::max<Duration>(kMinHedgeDelay, kHedgeFactor * average);
    terms.may_hedge = context_.has(Mechanism::kHedging);
    terms.repeats_declined = context_.has(Mechanism::kGateRetryBudget) && request.body.whole();
    return terms;
}

bool CallAttempts::advance(const IncomingCall& call, RequestState& state, AttemptStep step,
                           const KnownServer* server, TimePoint now) {
    switch (step) {
        case AttemptStep::kLaunch:
            launch(call, state, *server, state.inherited_retry, false);
            state.plan.on_launched(now);
            return true;
        case AttemptStep::kLaunchRetry:
            if (context_.has(Mechanism::kRetries) && can_complete(call, now) &&
                allows_retry(call, state, now)) {
                context_.metrics.count_retry(call.service);
                launch(call, state, *server, 1, true);
                state.plan.on_launched(now);
            } else {
                state.plan.on_retry_refused();
            }
            return true;
        case AttemptStep::kWait:
            state.attempt_set->changed.wait_until(state.plan.wait_until(now));
            return true;
        default:
            return false;
    }
}

const KnownServer* CallAttempts::choose_server(const IncomingCall& call, const RequestState& state,
                                               TimePoint now) {
    const auto choose_untried = [&] {
        return chooser_.choose(now, call.service, call.identity, state.tried, state.plan.running(),
                               state.may_retry);
    };
    // A streamed request was moved to its first attempt, and there is nothing left to send.
    if (state.streamed && state.attempt_set->request.method.empty()) {
        return nullptr;
    }
    if (!state.repeats_declined) {
        return choose_untried();
    }
    std::set<std::string> reached;
    std::set<std::string> declined;
    for (const auto& attempt : state.attempt_set->attempts) {
        const auto outcome = attempt->answer.result.outcome;
        if (!attempt->ended || outcome != hop::HopOutcome::kNotSent) {
            reached.insert(attempt->server.server.instance);
        }
        // A server that refuses at its rate limit refuses again.
        const bool has_rate_limit = attempt->answer.result.rate_limit.has_value();
        if (attempt->ended && outcome == hop::HopOutcome::kRefusedByServer && !has_rate_limit) {
            declined.insert(attempt->server.server.instance);
        } else {
            declined.erase(attempt->server.server.instance);
        }
    }
    const auto* untried = state.plan.may_reach_another_server(static_cast<unsigned>(reached.size()))
                              ? choose_untried()
                              : nullptr;
    return untried != nullptr ? untried : chooser_.choose_again(now, call.service, call.identity, declined);
}

bool CallAttempts::can_complete(const IncomingCall& call, TimePoint now) const {
    return context_.call_completion.can_complete(now, {call.row, call.deadline});
}

CallFailure CallAttempts::stopping_failure(TimePoint now) const {
    const auto delay = stopping::retryDelay(now, *context_.stop.times());
    return {ErrorKind::kStopping, milliseconds(to_milliseconds(delay))};
}

bool CallAttempts::allows_retry(const IncomingCall& call, const RequestState& state, TimePoint now) {
    const auto reason = state.plan.retry_reason();
    // The gate decides on retries of attempts without a response, and records them here when they have
    // reached a server.
    if (state.repeats_declined && reason == retry::RetryReason::kNoAnswer) {
        return true;
    }
    return budget_.try_retry(now, call.service, directory_.known_count() + 1, reason);
}

void CallAttempts::record_gate_decision(const IncomingCall& call, RequestState& state,
                                        const Attempt& attempt) {
    const auto& result = attempt.answer.result;
    if (attempt.asks_gate && result.outcome != hop::HopOutcome::kNotSent) {
        budget_.record_retry(TimePoint::clock::now(), call.service);
    }
    if (result.outcome == hop::HopOutcome::kNotSent && result.error == ErrorKind::kRetriesExhausted) {
        state.plan.on_retries_exhausted();
    }
}

void CallAttempts::launch(const IncomingCall& call, RequestState& state, const KnownServer& server,
                          double retry, bool is_retry) {
    const auto& attempt_set = state.attempt_set;
    const auto attempt = std::make_shared<Attempt>();
    attempt->server = server;
    attempt->started = TimePoint::clock::now();
    attempt->is_retry = is_retry && context_.has(Mechanism::kGateRetryBudget);
    attempt->asks_gate = attempt->is_retry && state.plan.retry_reason() == retry::RetryReason::kNoAnswer;
    attempt_set->attempts.push_back(attempt);
    state.tried.push_back(server.server.instance);
    chooser_.on_sent(server.server.instance);
    net::EventLoop::spawn([this, attempt_set, attempt, hop_call = hop_request_of(call, *attempt, retry),
                           streamed = state.streamed, slow_after = state.slow_after] {
        send(attempt_set, *attempt, hop_call, streamed, slow_after);
    });
}

hop::HopRequest CallAttempts::hop_request_of(const IncomingCall& call, const Attempt& attempt,
                                             double retry) const {
    hop::HopRequest hop_call;
    hop_call.instance = attempt.server.server.instance;
    hop_call.caller = context_.settings.service;
    hop_call.priority = call.terms.priority;
    hop_call.remaining = milliseconds(std::max(1LL, to_milliseconds(call.deadline - attempt.started)));
    hop_call.max_wait =
        std::max(kMinGateWait, milliseconds(to_milliseconds(gate_wait_deadline(call) - attempt.started)));
    hop_call.retry_percent = static_cast<unsigned>(std::lround(retry * kPercent));
    hop_call.is_retry = attempt.is_retry;
    hop_call.at_most_once = !may_retry(call.terms.retry);
    hop_call.crashes = crashes_.crashes_of(attempt.started, call.identity);
    hop_call.row = call.row;
    hop_call.rate_limit = context_.notices.rate_of(attempt.server.server);
    write_origin(call, hop_call);
    return hop_call;
}

void CallAttempts::send(const std::shared_ptr<AttemptSet>& attempt_set, Attempt& attempt,
                        const hop::HopRequest& hop_call, bool streamed, Duration slow_after) {
    auto released = hop_call;
    auto refusal = reserve_if_needed(attempt, released);
    attempt.answer = refusal ? std::move(*refusal) : transmit(*attempt_set, attempt, released, streamed);
    attempt.ended = true;
    const auto& result = attempt.answer.result;
    const auto now = TimePoint::clock::now();
    // The outcome of a request that didn't reach the server says nothing about the server's rate limit.
    if (result.rate_limit || result.outcome == hop::HopOutcome::kAnswered) {
        context_.notices.on_rate(now, attempt.server.server, result.rate_limit);
    }
    if (result.server_leaves) {
        context_.notices.on_leaving(now, attempt.server.server);
    }
    // The time that a sender took until it broke off its body is not the server's.
    const bool is_cut = attempt.progress.request_cut;
    chooser_.on_ended(now, attempt.server.server.instance,
                      {attempt.cancel.cancelled() || is_cut, is_server_failure(attempt.answer),
                       is_cut ? Duration::zero() : now - attempt.started, slow_after});
    record_declined(attempt, now);
    attempt_set->changed.notify();
}

GateAnswer CallAttempts::transmit(AttemptSet& attempt_set, Attempt& attempt, const hop::HopRequest& hop_call,
                                  bool streamed) {
    auto request = streamed ? std::move(attempt_set.request) : copy_of(attempt_set.request);
    const bool is_local = attempt.server.peer == context_.settings.name;
    return is_local
               ? gate_.run(std::move(request), hop_call, &attempt.cancel, attempt.progress)
               : hops_.run(attempt.server, std::move(request), hop_call, &attempt.cancel, attempt.progress);
}

std::optional<GateAnswer> CallAttempts::reserve_if_needed(Attempt& attempt, hop::HopRequest& hop_call) {
    if (!context_.has(Mechanism::kSlotReservation)) {
        return std::nullopt;
    }
    const auto& load = attempt.server.server;
    const bool is_local = attempt.server.peer == context_.settings.name;
    const bool reserves = reservation::needsReservation(
        {hop_call.at_most_once, is_local, hop_call.crashes > 0, load.in_flight, load.queued, load.limit});
    return reserves ? hops_.reserve(attempt.server, hop_call, &attempt.cancel) : std::nullopt;
}

void CallAttempts::record_declined(const Attempt& attempt, TimePoint now) {
    const auto& result = attempt.answer.result;
    const auto outcome = result.outcome;
    const bool reached =
        outcome == hop::HopOutcome::kAnswered || outcome == hop::HopOutcome::kRefusedByServer;
    if (reached && context_.has(Mechanism::kGateRetryBudget)) {
        context_.overload.on_declined_share(now, attempt.server.server.service,
                                            {result.instance, result.declined_percent, result.latency_us});
    }
}

void CallAttempts::process_outcomes(IncomingCall& call, RequestState& state) {
    for (const auto& attempt : state.attempt_set->attempts) {
        if (attempt->ended && !attempt->processed) {
            process_outcome(call, state, attempt);
        }
    }
}

void CallAttempts::process_outcome(IncomingCall& call, RequestState& state,
                                   const std::shared_ptr<Attempt>& attempt) {
    attempt->processed = true;
    const auto outcome = outcome_of(attempt->answer);
    state.plan.on_outcome(outcome);
    if (attempt->answer.gate_was_silent) {
        state.plan.on_silent_gate();
    }
    record_gate_decision(call, state, *attempt);
    const auto& result = attempt->answer.result;
    const bool answered = attempt->answer.response.has_value();
    if (answered) {
        crashes_.on_answered(call.identity);
    } else {
        crashes_.on_reported_crashes(call.identity, result.crashes);
        state.failure = {result.error, result.retry_after};
    }
    if (outcome == AttemptOutcome::kAnswered || (answered && !state.best)) {
        state.best = attempt;
    }
    call.attempts += (call.attempts.empty() ? "" : " ") +
                     describe_attempt(attempt->server.server.instance, attempt->answer,
                                      TimePoint::clock::now() - attempt->started,
                                      attempt->started - attempt->server.last_seen);
}

void CallAttempts::cancel_attempts(IncomingCall& call, RequestState& state) {
    for (const auto& attempt : state.attempt_set->attempts) {
        if (attempt->ended) {
            continue;
        }
        attempt->cancel.cancel();
        // Attempts with a streamed body are waited for below.
        if (!state.streamed) {
            attempt->processed = true;
            state.plan.on_cancelled(attempt->progress.request_started);
        }
    }
    while (state.streamed && state.plan.running() > 0) {
        // The attempt reads the body from the client's connection, which must stay open until the attempt has
        // ended.
        state.attempt_set->changed.wait_until(TimePoint::clock::now() + kCancelPollInterval);
        process_outcomes(call, state);
    }
}

AttemptsResult CallAttempts::conclude(const IncomingCall& call, RequestState& state, AttemptStep step) {
    // Whether clients call this route may have become known during the attempts.
    const bool is_root = context_.origins.is_called_by_clients(call.route);
    if (state.best && (step == AttemptStep::kDeliver || step == AttemptStep::kTimeUp)) {
        auto& best = state.best->answer;
        context_.overload.on_call_ended(call.service, call.row, is_root,
                                        {false, best.result.overloaded_service});
        return {std::move(best.response), {}, true};
    }
    auto& error = state.failure.error;
    if (step == AttemptStep::kTimeUp) {
        error = state.plan.may_have_run() ? ErrorKind::kDeadlineExceeded : ErrorKind::kQueueTimeout;
    } else if (step == AttemptStep::kFail) {
        error = ErrorKind::kOutcomeUnknown;
    }
    if (context_.has(Mechanism::kGateRetryBudget) && is_decline(error)) {
        context_.overload.on_call_declined(TimePoint::clock::now());
    }
    context_.overload.on_call_ended(call.service, call.row, is_root, {is_overload(error), ""});
    return {std::nullopt, state.failure, state.plan.may_have_run()};
}

}  // namespace anisehold::sidecar
