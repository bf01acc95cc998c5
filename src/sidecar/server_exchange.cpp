/// @file
/// The exchange of the gate with its server: sending a request once, and what its end tells of the server.
#include <algorithm>

#include "observability/events.hpp"
#include "sidecar/local_gate.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using hop::HopOutcome;
using observability::Event;
using observability::log_event;

/// A kept connection that breaks sooner than that after a request was sent had been forgotten by the server.
constexpr milliseconds kInstantLoss{20};
/// A non-repeatable request isn't sent on a connection that rested longer: the server may be closing it.
constexpr milliseconds kFreshIdle{2'000};
/// How much longer than the request's own time an answer is waited for, so that the server's own one wins.
constexpr milliseconds kAnswerSlack{20};
/// Digests in one log line: 33 bytes each, and a server may have a hundred requests running when it ends.
constexpr std::size_t kMostDigestsLogged = 32;

}  // namespace

GateAnswer LocalGate::exchange(Server& server, net::HttpRequest& request, const hop::HopRequest& call,
                               TimePoint deadline, net::CancelSignal* cancel,
                               net::ExchangeProgress& progress) {
    if (cancel != nullptr && cancel->check()) {
        return without_answer(HopOutcome::kNotSent, ErrorKind::kCancelled, Duration::zero());
    }
    const auto now = TimePoint::clock::now();
    const auto request_id = context_.dialect.read_client_call(request).id;
    const milliseconds time_left(std::max(1LL, to_milliseconds(deadline - now)));
    context_.dialect.write_server_call(request, {call.instance, call.caller, time_left});
    net::ExchangeOptions options{deadline + kAnswerSlack, cancel};
    options.expected_echo = context_.dialect.echoed_field(request_id);
    if (context_.has(Mechanism::kIdleLimit)) {
        options.longest_idle = connection::longestIdle(server.idle_limit, now);
    }
    if (call.at_most_once) {
        options.longest_idle = std::min<Duration>(options.longest_idle, kFreshIdle);
    }
    // A connection that breaks at once may still have brought the request to the server: whether it is sent
    // again is the ingress's choice, which counts repeats.
    std::error_code error;
    auto response = send_once(server, request, options, progress, error);
    if (!response) {
        if (!progress.request_started) {
            return without_answer(HopOutcome::kNotSent, ErrorKind::kConnectFailed, Duration::zero());
        }
        const bool gave_up = cancel != nullptr && cancel->cancelled();
        if (!gave_up && error != std::errc::timed_out) {
            look_for_crash(server, call);
        }
        return without_answer(HopOutcome::kUnknown, ErrorKind::kBackendFailed, Duration::zero());
    }
    GateAnswer answer;
    switch (context_.dialect.nature_of(*response)) {
        case AnswerNature::kNotRun:
            return without_answer(HopOutcome::kRefusedByServer, ErrorKind::kBackendRefused, server.latency);
        case AnswerNature::kSpoiled:
            return without_answer(HopOutcome::kUnknown, ErrorKind::kBackendFailed, Duration::zero());
        case AnswerNature::kGenuine:
            answer.result.outcome = HopOutcome::kAnswered;
            answer.response = std::move(response);
    }
    return answer;
}

std::optional<net::HttpResponse> LocalGate::send_once(Server& server, net::HttpRequest& request,
                                                      const net::ExchangeOptions& options,
                                                      net::ExchangeProgress& progress,
                                                      std::error_code& error) const {
    const auto sent = TimePoint::clock::now();
    auto response = server.client.exchange(request, options, progress, error);
    const auto now = TimePoint::clock::now();
    const bool cancelled = options.cancel != nullptr && options.cancel->cancelled();
    if (progress.connected) {
        connection::noteConnected(server.backoff);
    } else if (!cancelled && error != std::errc::too_many_files_open) {
        connection::noteConnectFailed(server.backoff, now);
    }
    if (!response && !cancelled && progress.connection_reused && !progress.answer_started &&
        now - sent < kInstantLoss) {
        connection::noteLost(server.idle_limit, now, progress.idle_for);
        log_event(Event::kConnectionForgotten,
                  {{"server", server.client.server().text()},
                   {"rested_ms", std::to_string(to_milliseconds(progress.idle_for))},
                   {"error", error.message()},
                   {"longest_rest_ms",
                    std::to_string(to_milliseconds(connection::longestIdle(server.idle_limit, now)))}});
    }
    return response;
}

void LocalGate::look_for_crash(Server& server, const hop::HopRequest& call) {
    // One that said that it leaves ends as it should.
    const auto* registered = registry_.find_ready(call.instance);
    if (registered == nullptr || !server.crash.is_server_gone() || !server.crash.take_report()) {
        return;
    }
    const auto unanswered = server.crash.unanswered();
    std::string digests;
    for (std::size_t n = 0; n < std::min(unanswered.size(), kMostDigestsLogged); ++n) {
        digests.append(n > 0 ? " " : "").append(unanswered[n].request.digest.text());
    }
    context_.metrics.count_server_crash(context_.settings.service);
    crashes_.on_crash(unanswered);
    // Its next start registers anew, maybe under the same id; nothing of this one holds for it.
    registry_.on_crash(call.instance);
    servers_.erase(call.instance);
    if (crash_listener_) {
        crash_listener_();
    }
    log_event(Event::kServerCrashed, {{"server", call.instance},
                                      {"service", context_.settings.service},
                                      {"running", std::to_string(unanswered.size())},
                                      {"digests", digests}});
}

}  // namespace anisehold::sidecar
