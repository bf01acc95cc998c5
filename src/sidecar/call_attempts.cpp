#include "sidecar/call_attempts.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/event_loop.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using membership::KnownServer;
using retry::AttemptOutcome;
using retry::AttemptStep;

/// An attempt that takes this many times the service's average is joined by another one.
constexpr int kHedgeFactor = 3;
/// It is joined no sooner.
constexpr milliseconds kLeastHedge{100};
/// How often attempts whose body is streamed are looked at while they are given up.
constexpr milliseconds kGiveUpPoll{100};
/// A request may wait at gates for this part of its target latency: calls of higher priority overtake it as
/// long as an overload lasts, so that the wait expected at its arrival says little. Without the bound
/// many answers come too late.
constexpr int kWaitPart = 4;
/// It may wait so long at least.
constexpr milliseconds kLeastWait{10};
constexpr double kPercent = 100;
/// Expected time of an answer while none was seen.
constexpr milliseconds kUnmeasuredLatency{150};
/// A daemon that was started has heard of its peers' servers by then: their records come at least once a
/// second, and a server that can't be asked for its health sends a heartbeat within some 1.5 s.
constexpr milliseconds kServersKnownAfter{3'000};

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

net::HttpRequest copy_of(const net::HttpRequest& request) {
    net::HttpRequest copy;
    copy.method = request.method;
    copy.target = request.target;
    copy.fields = request.fields;
    copy.body.prefix = request.body.prefix;
    copy.body.length = request.body.length;
    return copy;
}

/// When the request stops waiting at gates.
TimePoint wait_ends(const IncomingCall& call) {
    return call.received + call.terms.target_latency / kWaitPart;
}

/// One attempt that ended, for the log: server, status or outcome, time taken, age of what was known of it.
std::string text_of(const std::string& instance, const GateAnswer& answer, Duration taken, Duration age) {
    const auto& result = answer.result;
    const auto end = answer.response ? std::to_string(answer.response->status)
                                     : std::string(hop::outcome_name(result.outcome)) + "/" +
                                           std::string(answer_for(result.error).name);
    return instance + ":" + end + ":" + std::to_string(to_milliseconds(taken)) + "ms:age" +
           std::to_string(to_milliseconds(age));
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
    budget_.set_terms(budget_terms(context_.settings));
}

AttemptsEnd CallAttempts::run(IncomingCall& call, net::HttpRequest& request, net::CancelSignal& cancel) {
    Flight flight(terms_of(call, request, call.received));
    const bool is_root = context_.origins.is_called_by_clients(call.route);
    flight.inherited_retry = is_root ? 0 : gate_.retry_share();
    if (!is_root) {
        context_.overload.on_call_made(call.received, call.row);
    }
    budget_.on_request(call.received, call.service, flight.inherited_retry);
    flight.streamed = !request.body.whole();
    flight.board->request = flight.streamed ? std::move(request) : copy_of(request);
    const net::CancelSubscription subscription(&cancel, [board = flight.board] { board->changed.notify(); });
    AttemptStep step = AttemptStep::kWait;
    bool going_on = true;
    while (going_on) {
        take_outcomes(call, flight);
        const auto now = TimePoint::clock::now();
        const auto* server = chooser_.choose(now, call.service, call.identity, flight.tried,
                                             flight.plan.running(), flight.may_retry);
        step = flight.plan.next(now, server != nullptr);
        const bool sends = step == AttemptStep::kLaunch || step == AttemptStep::kLaunchRetry;
        if (sends && crashes_.is_condemned(now, call.identity)) {
            return {std::nullopt, {ErrorKind::kCrashesServers}, flight.plan.may_have_run()};
        }
        const bool caller_left = sends ? cancel.check() : cancel.cancelled();
        going_on = !caller_left && advance(call, flight, step, server, now);
    }
    cancel_attempts(call, flight);
    if (cancel.cancelled()) {
        return {std::nullopt, {ErrorKind::kCancelled}, true};
    }
    return conclude(call, flight, step);
}

retry::AttemptTerms CallAttempts::terms_of(const IncomingCall& call, const net::HttpRequest& request,
                                           TimePoint now) const {
    retry::AttemptTerms terms;
    // A body that is streamed can be sent once only.
    terms.may_retry = may_retry(call.terms.retry) && request.body.whole();
    terms.max_servers = request.body.whole() ? call.terms.max_servers : 1;
    terms.deadline = call.deadline;
    terms.refuse_unsent_at = wait_ends(call);
    if (context_.has(Mechanism::kStartupServerWait)) {
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

bool CallAttempts::advance(const IncomingCall& call, Flight& flight, AttemptStep step,
                           const KnownServer* server, TimePoint now) {
    switch (step) {
        case AttemptStep::kLaunch:
            launch(call, flight, *server, flight.inherited_retry);
            flight.plan.on_launched(now);
            return true;
        case AttemptStep::kLaunchRetry:
            if (context_.has(Mechanism::kRetries) &&
                budget_.try_retry(now, call.service, directory_.known_count() + 1,
                                  flight.plan.retry_reason())) {
                context_.metrics.count_retry(call.service);
                launch(call, flight, *server, 1);
                flight.plan.on_launched(now);
            } else {
                flight.plan.on_retry_refused();
            }
            return true;
        case AttemptStep::kWait:
            flight.board->changed.wait_until(flight.plan.wait_until(now));
            return true;
        default:
            return false;
    }
}

void CallAttempts::launch(const IncomingCall& call, Flight& flight, const KnownServer& server, double retry) {
    const auto& board = flight.board;
    const auto attempt = std::make_shared<Attempt>();
    attempt->server = server;
    attempt->started = TimePoint::clock::now();
    board->attempts.push_back(attempt);
    flight.tried.push_back(server.server.instance);
    chooser_.on_sent(server.server.instance);
    net::EventLoop::spawn(
        [this, board, attempt, hop_call = hop_request_of(call, *attempt, retry), streamed = flight.streamed,
         slow_after = flight.slow_after] { send(board, *attempt, hop_call, streamed, slow_after); });
}

hop::HopRequest CallAttempts::hop_request_of(const IncomingCall& call, const Attempt& attempt,
                                             double retry) const {
    hop::HopRequest hop_call;
    hop_call.instance = attempt.server.server.instance;
    hop_call.caller = context_.settings.service;
    hop_call.priority = call.terms.priority;
    hop_call.remaining = milliseconds(std::max(1LL, to_milliseconds(call.deadline - attempt.started)));
    hop_call.max_wait =
        std::max(kLeastWait, milliseconds(to_milliseconds(wait_ends(call) - attempt.started)));
    hop_call.retry_percent = static_cast<unsigned>(std::lround(retry * kPercent));
    hop_call.at_most_once = !may_retry(call.terms.retry);
    hop_call.crashes = crashes_.crashes_of(attempt.started, call.identity);
    hop_call.row = call.row;
    hop_call.rate_limit = context_.notices.rate_of(attempt.server.server);
    return hop_call;
}

void CallAttempts::send(const std::shared_ptr<AttemptBoard>& board, Attempt& attempt,
                        const hop::HopRequest& hop_call, bool streamed, Duration slow_after) {
    auto request = streamed ? std::move(board->request) : copy_of(board->request);
    const bool own = attempt.server.peer == context_.settings.name;
    attempt.answer =
        own ? gate_.run(std::move(request), hop_call, &attempt.cancel, attempt.progress)
            : hops_.run(attempt.server, std::move(request), hop_call, &attempt.cancel, attempt.progress);
    attempt.ended = true;
    const auto& result = attempt.answer.result;
    const auto now = TimePoint::clock::now();
    // What became of a request elsewhere says nothing of the server's limit.
    if (result.rate_limit || result.outcome == hop::HopOutcome::kAnswered) {
        context_.notices.on_rate(now, attempt.server.server, result.rate_limit);
    }
    if (result.server_leaves) {
        context_.notices.on_leaving(now, attempt.server.server);
    }
    chooser_.on_ended(
        now, attempt.server.server.instance,
        {attempt.cancel.cancelled(), is_server_failure(attempt.answer), now - attempt.started, slow_after});
    board->changed.notify();
}

void CallAttempts::take_outcomes(IncomingCall& call, Flight& flight) {
    for (const auto& attempt : flight.board->attempts) {
        if (attempt->ended && !attempt->taken) {
            take_outcome(call, flight, attempt);
        }
    }
}

void CallAttempts::take_outcome(IncomingCall& call, Flight& flight, const std::shared_ptr<Attempt>& attempt) {
    attempt->taken = true;
    const auto outcome = outcome_of(attempt->answer);
    flight.plan.on_outcome(outcome);
    const auto& result = attempt->answer.result;
    const bool answered = attempt->answer.response.has_value();
    if (answered) {
        crashes_.on_answered(call.identity);
    } else {
        crashes_.on_reported_crashes(call.identity, result.crashes);
        flight.failure = {result.error, result.retry_after};
    }
    if (outcome == AttemptOutcome::kAnswered || (answered && !flight.best)) {
        flight.best = attempt;
    }
    call.attempts +=
        (call.attempts.empty() ? "" : " ") + text_of(attempt->server.server.instance, attempt->answer,
                                                     TimePoint::clock::now() - attempt->started,
                                                     attempt->started - attempt->server.last_seen);
}

void CallAttempts::cancel_attempts(IncomingCall& call, Flight& flight) {
    for (const auto& attempt : flight.board->attempts) {
        if (attempt->ended) {
            continue;
        }
        attempt->cancel.cancel();
        // A streamed body is waited for below.
        if (!flight.streamed) {
            attempt->taken = true;
            flight.plan.on_cancelled(attempt->progress.request_started);
        }
    }
    while (flight.streamed && flight.plan.running() > 0) {
        // The body is read off the client's connection, which must outlast the attempt.
        flight.board->changed.wait_until(TimePoint::clock::now() + kGiveUpPoll);
        take_outcomes(call, flight);
    }
}

AttemptsEnd CallAttempts::conclude(const IncomingCall& call, Flight& flight, AttemptStep step) {
    // It may have become known during the attempts.
    const bool is_root = context_.origins.is_called_by_clients(call.route);
    if (flight.best && (step == AttemptStep::kDeliver || step == AttemptStep::kTimeUp)) {
        auto& best = flight.best->answer;
        context_.overload.on_call_ended(call.service, call.row, is_root,
                                        {false, best.result.overloaded_service});
        return {std::move(best.response), {}, true};
    }
    auto& error = flight.failure.error;
    if (step == AttemptStep::kTimeUp) {
        error = flight.plan.may_have_run() ? ErrorKind::kDeadlineExceeded : ErrorKind::kQueueTimeout;
    } else if (step == AttemptStep::kFail) {
        error = ErrorKind::kOutcomeUnknown;
    }
    context_.overload.on_call_ended(call.service, call.row, is_root, {is_overload(error), ""});
    return {std::nullopt, flight.failure, flight.plan.may_have_run()};
}

}  // namespace anisehold::sidecar
