#include "sidecar/server_exchange.hpp"

#include <algorithm>

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using config::Mechanism;
using hop::HopOutcome;
using observability::Event;
using observability::log_event;

/// If a reused connection breaks within this time after a request was sent, the server had already closed the
/// connection.
constexpr milliseconds kImmediateLossTime{20};
/// Maximum idle time of a connection for an at-most-once request: the server may be closing a connection that
/// has been idle longer.
constexpr milliseconds kMaxAtMostOnceIdle{2'000};
/// Time beyond the request's deadline for which a response is awaited, so that the server's own timeout
/// response arrives first.
constexpr milliseconds kResponseSlack{20};

net::ExchangeOptions options_for(const SidecarContext& context, const GateServer& server, const GateRun& run,
                                 TimePoint now) {
    net::ExchangeOptions options{run.deadline + kResponseSlack, run.cancel};
    options.expected_echo = context.dialect.echoed_field(run.request_id);
    if (context.has(Mechanism::kIdleConnectionLimit)) {
        options.max_idle = connection::currentMaxIdle(server.idle_limit, now);
    }
    if (run.call.at_most_once) {
        options.max_idle = std::min<Duration>(options.max_idle, kMaxAtMostOnceIdle);
    }
    return options;
}

/// A connection that breaks immediately may still have delivered the request to the server. Whether the
/// request is sent again is decided by the caller's daemon, which counts retries.
std::optional<net::HttpResponse> send_once(GateServer& server, net::HttpRequest& request,
                                           const net::ExchangeOptions& options, const GateRun& run,
                                           std::error_code& error) {
    const auto sent = TimePoint::clock::now();
    auto response = server.client.exchange(request, options, run.progress, error);
    const auto now = TimePoint::clock::now();
    const auto& progress = run.progress;
    const bool is_abandoned = run.is_abandoned();
    if (progress.connected) {
        connection::recordConnected(server.backoff);
    } else if (!is_abandoned && error != std::errc::too_many_files_open) {
        connection::recordConnectFailure(server.backoff, now);
    }
    if (!response && !is_abandoned && progress.connection_reused && !progress.answer_started &&
        now - sent < kImmediateLossTime) {
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

/// Records the present speed that the server states, if it does.
void record_speed(const SidecarContext& context, GateServer& server, const std::string& instance,
                  const ServerExchangeResult& end) {
    if (!context.has(Mechanism::kServerSpeed) || !end.notice || !end.notice->slowness_percent) {
        return;
    }
    const auto now = TimePoint::clock::now();
    const auto percent = *end.notice->slowness_percent;
    speed::recordFigure(server.speed, now, percent, server.latency);
    if (speed::updateUse(server.speed, now)) {
        log_event(Event::kServerSpeedUsed, {{"server", instance},
                                            {"used", server.speed.isUsed ? "yes" : "no"},
                                            {"percent", std::to_string(percent)},
                                            {"trust", std::to_string(speed::figureTrust(server.speed))}});
    }
}

ServerExchangeResult end_of(const SidecarContext& context, const GateServer& server,
                            net::HttpResponse response) {
    const auto response_class = context.dialect.classify_response(response);
    if (response_class == ResponseClass::kUntrusted) {
        return {make_failure(HopOutcome::kUnknown, ErrorKind::kBackendFailed)};
    }
    ServerExchangeResult end;
    end.notice = context.dialect.read_notice(response);
    if (response_class == ResponseClass::kNotRun) {
        end.answer = make_failure(HopOutcome::kRefusedByServer, ErrorKind::kBackendRefused, server.latency);
        return end;
    }
    end.answer.result.outcome = HopOutcome::kAnswered;
    end.answer.response = std::move(response);
    return end;
}

}  // namespace

milliseconds time_left_for_server(const GateRun& run, TimePoint now) {
    return milliseconds(std::max(1LL, to_milliseconds(run.deadline - now)));
}

ServerExchangeResult exchange_with_server(const SidecarContext& context, GateServer& server,
                                          net::HttpRequest& request, const GateRun& run) {
    if (run.cancel != nullptr && run.cancel->check()) {
        return {make_failure(HopOutcome::kNotSent, ErrorKind::kCancelled)};
    }
    const auto now = TimePoint::clock::now();
    context.dialect.write_server_call(request,
                                      {run.call.instance, run.call.caller, time_left_for_server(run, now)});
    std::error_code error;
    auto response = send_once(server, request, options_for(context, server, run, now), run, error);
    if (response) {
        auto end = end_of(context, server, std::move(*response));
        end.sent = now;
        record_speed(context, server, run.call.instance, end);
        return end;
    }
    if (!run.progress.request_started) {
        return {make_failure(HopOutcome::kNotSent, ErrorKind::kConnectFailed)};
    }
    return {make_failure(HopOutcome::kUnknown, ErrorKind::kBackendFailed),
            !run.is_abandoned() && error != std::errc::timed_out};
}

}  // namespace anisehold::sidecar
