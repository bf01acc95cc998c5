/// @file
/// The attempts of one request: choosing servers, sending, repeating, taking in how attempts end.
#include <algorithm>
#include <cmath>

#include "net/event_loop.hpp"
#include "sidecar/call_ingress.hpp"
#include "suspects/suspect_server.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using hop::HopOutcome;
using membership::KnownServer;
using retry::AttemptOutcome;
using retry::AttemptStep;

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

AttemptOutcome outcome_of(const GateAnswer& answer) {
    switch (answer.result.outcome) {
        case HopOutcome::kAnswered:
            return net::is_server_error(answer.response->status) ? AttemptOutcome::kFailedAnswer
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

retry::AttemptTerms CallIngress::terms_of(const Call& call, const net::HttpRequest& request, TimePoint now) {
    retry::AttemptTerms terms;
    // A body that is streamed can be sent once only.
    terms.may_retry = may_retry(call.terms.retry) && request.body.whole();
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

const KnownServer* CallIngress::choose_server(const Call& call, TimePoint now, unsigned running) {
    const auto view = candidates(call.service, now);
    if (crashes_.crashes_of(now, call.identity) == 0) {
        return selection::chooseServer(selection_, now, view, call.tried,
                                       [this] { return context_.random_unit(); });
    }
    // A suspect isn't at two servers at once.
    return running > 0 ? nullptr : suspects::chooseForSuspect(view, call.identity.digest, call.tried);
}

net::HttpResponse CallIngress::run(Call& call, net::HttpRequest& request, net::CancelSignal& cancel) {
    const bool is_root = context_.origins.is_called_by_clients(call.route);
    call.inherited_retry = is_root ? 0 : gate_.retry_share();
    if (!is_root) {
        overload::noteCallMade(context_.work, call.received, call.row);
    }
    budget_.on_request(call.received, call.service, call.inherited_retry);
    Flight flight(terms_of(call, request, call.received));
    flight.streamed = !request.body.whole();
    flight.board->request = flight.streamed ? std::move(request) : copy_of(request);
    const net::CancelSubscription subscription(&cancel, [board = flight.board] { board->changed.give(); });
    AttemptStep step = AttemptStep::kWait;
    bool going_on = true;
    while (going_on) {
        take_outcomes(call, flight);
        const auto now = TimePoint::clock::now();
        const auto* server = choose_server(call, now, flight.plan.running());
        step = flight.plan.next(now, server != nullptr);
        const bool sends = step == AttemptStep::kLaunch || step == AttemptStep::kLaunchRetry;
        if (sends && crashes_.is_condemned(now, call.identity)) {
            return fail(call, {ErrorKind::kCrashesServers}, flight.plan.may_have_run());
        }
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
    const auto send = [&](double retry) {
        launch(call, flight, *server, retry);
        flight.plan.on_launched(now);
    };
    switch (step) {
        case AttemptStep::kLaunch:
            send(call.inherited_retry);
            return true;
        case AttemptStep::kLaunchRetry:
            if (context_.has(Mechanism::kRetries) &&
                budget_.try_retry(now, call.service, directory_.known_count() + 1,
                                  flight.plan.retry_reason())) {
                context_.metrics.count_retry(call.service);
                send(1);
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

void CallIngress::launch(Call& call, Flight& flight, const KnownServer& server, double retry) {
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
    hop_call.retry_percent = static_cast<unsigned>(std::lround(retry * kPercent));
    hop_call.at_most_once = !may_retry(call.terms.retry);
    hop_call.crashes = crashes_.crashes_of(attempt->started, call.identity);
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

void CallIngress::take_outcomes(Call& call, Flight& flight) {
    for (const auto& attempt : flight.board->attempts) {
        if (!attempt->ended || attempt->taken) {
            continue;
        }
        attempt->taken = true;
        const auto outcome = outcome_of(attempt->answer);
        flight.plan.on_outcome(outcome);
        const auto& result = attempt->answer.result;
        if (outcome == AttemptOutcome::kAnswered || outcome == AttemptOutcome::kFailedAnswer) {
            crashes_.on_answered(call.identity);
        } else {
            crashes_.on_reported_crashes(call.identity, result.crashes);
        }
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

void CallIngress::cancel_attempts(Call& call, Flight& flight) {
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

}  // namespace anisehold::sidecar
