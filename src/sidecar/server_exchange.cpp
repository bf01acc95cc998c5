#include "sidecar/server_exchange.hpp"

#include <algorithm>

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using hop::HopOutcome;
using observability::Event;
using observability::log_event;

/// A kept connection that breaks sooner than that after a request was sent had been forgotten by the server.
/// Chosen, not measured.
constexpr milliseconds kInstantLoss{20};
/// A non-repeatable request isn't sent on a connection that was idle longer: the server may be closing it.
/// Chosen, not measured.
constexpr milliseconds kFreshIdle{2'000};
/// How much longer than the request's own time an answer is waited for, so that the server's own one wins.
/// Chosen, not measured.
constexpr milliseconds kAnswerSlack{20};

net::ExchangeOptions options_for(const SidecarContext& context, const GateServer& server, const GateRun& run,
                                 TimePoint now) {
    net::ExchangeOptions options{run.deadline + kAnswerSlack, run.cancel};
    options.expected_echo = context.dialect.echoed_field(run.request_id);
    if (context.has(Mechanism::kIdleConnectionLimit)) {
        options.max_idle = connection::currentMaxIdle(server.idle_limit, now);
    }
    if (run.call.at_most_once) {
        options.max_idle = std::min<Duration>(options.max_idle, kFreshIdle);
    }
    return options;
}

/// A connection that breaks at once may still have brought the request to the server: whether it is sent
/// again is decided at the caller's daemon, which counts retries.
std::optional<net::HttpResponse> send_once(GateServer& server, net::HttpRequest& request,
                                           const net::ExchangeOptions& options, const GateRun& run,
                                           std::error_code& error) {
    const auto sent = TimePoint::clock::now();
    auto response = server.client.exchange(request, options, run.progress, error);
    const auto now = TimePoint::clock::now();
    const auto& progress = run.progress;
    const bool cancelled = run.is_cancelled();
    if (progress.connected) {
        connection::recordConnected(server.backoff);
    } else if (!cancelled && error != std::errc::too_many_files_open) {
        connection::recordConnectFailure(server.backoff, now);
    }
    if (!response && !cancelled && progress.connection_reused && !progress.answer_started &&
        now - sent < kInstantLoss) {
        connection::recordLostConnection(server.idle_limit, now, progress.idle_for);
        log_event(Event::kConnectionForgotten,
                  {{"server", server.client.server().text()},
                   {"rested_ms", std::to_string(to_milliseconds(progress.idle_for))},
                   {"error", error.message()},
                   {"longest_rest_ms",
                    std::to_string(to_milliseconds(connection::currentMaxIdle(server.idle_limit, now)))}});
    }
    return response;
}

ServerExchangeEnd end_of(const SidecarContext& context, const GateServer& server,
                         net::HttpResponse response) {
    const auto nature = context.dialect.classify_response(response);
    if (nature == ResponseClass::kUntrusted) {
        return {without_answer(HopOutcome::kUnknown, ErrorKind::kBackendFailed)};
    }
    ServerExchangeEnd end;
    end.notice = context.dialect.read_notice(response);
    if (nature == ResponseClass::kNotRun) {
        end.answer = without_answer(HopOutcome::kRefusedByServer, ErrorKind::kBackendRefused, server.latency);
        return end;
    }
    end.answer.result.outcome = HopOutcome::kAnswered;
    end.answer.response = std::move(response);
    return end;
}

}  // namespace

ServerExchangeEnd exchange_with_server(const SidecarContext& context, GateServer& server,
                                       net::HttpRequest& request, const GateRun& run) {
    if (run.cancel != nullptr && run.cancel->check()) {
        return {without_answer(HopOutcome::kNotSent, ErrorKind::kCancelled)};
    }
    const auto now = TimePoint::clock::now();
    const milliseconds time_left(std::max(1LL, to_milliseconds(run.deadline - now)));
    context.dialect.write_server_call(request, {run.call.instance, run.call.caller, time_left});
    std::error_code error;
    auto response = send_once(server, request, options_for(context, server, run, now), run, error);
    if (response) {
        auto end = end_of(context, server, std::move(*response));
        end.sent = now;
        return end;
    }
    if (!run.progress.request_started) {
        return {without_answer(HopOutcome::kNotSent, ErrorKind::kConnectFailed)};
    }
    return {without_answer(HopOutcome::kUnknown, ErrorKind::kBackendFailed),
            !run.is_cancelled() && error != std::errc::timed_out};
}

}  // namespace anisehold::sidecar
