#include "sidecar/hop_client.hpp"

#include <algorithm>

#include "net/event_loop.hpp"
#include "observability/events.hpp"
#include "sidecar/connection_limits.hpp"

namespace anisehold::sidecar {
namespace {

using hop::HopOutcome;

/// Time beyond the request's deadline for which the gate's response is awaited; longer than the gate waits
/// for its server.
constexpr milliseconds kResponseSlack{60};

/// Path of the messages about reservations, which carry no request.
constexpr std::string_view kReservePath = "/-reserve";
/// Minimum time between two log lines on silent gates.
constexpr seconds kSilenceLogInterval{1};

net::HttpRequest reservation_message(const hop::HopRequest& call) {
    auto message = net::make_request("GET", std::string(kReservePath));
    message.fields.set(hop::kRequestHeader, encode(call));
    return message;
}

milliseconds reduced(milliseconds time, Duration elapsed) {
    return std::max(milliseconds(1), time - milliseconds(to_milliseconds(elapsed)));
}

GateAnswer failure_at(const hop::HopRequest& call, HopOutcome outcome, ErrorKind error) {
    auto answer = make_failure(outcome, error);
    answer.result.instance = call.instance;
    return answer;
}

membership::ServerRecord load_of(const hop::HopResult& result) {
    membership::ServerRecord server;
    server.instance = result.instance;
    server.in_flight = result.in_flight;
    server.queued = result.queued;
    server.limit = result.limit;
    server.latency_us = result.latency_us;
    server.failed_percent = result.failed_percent;
    server.declined_percent = result.declined_percent;
    return server;
}

}  // namespace

std::shared_ptr<net::HttpClient> HopClient::client_for(const membership::KnownServer& server) {
    auto& connections = connections_[server.peer];
    const bool same = connections.client && connections.boot_id == server.boot_id &&
                      connections.client->server() == server.call;
    if (!same) {
        connections.boot_id = server.boot_id;
        connections.client = std::make_shared<net::HttpClient>(context_.io, server.call, peer_pool_limits());
    }
    return connections.client;
}

GateAnswer HopClient::run(const membership::KnownServer& server, net::HttpRequest request,
                          const hop::HopRequest& call, net::CancelSignal* cancel,
                          net::ExchangeProgress& progress) {
    const auto client = client_for(server);
    request.fields.set(hop::kRequestHeader, encode(call));
    net::ExchangeOptions options{TimePoint::clock::now() + call.remaining + kResponseSlack, cancel};
    std::error_code error;
    auto response = client->exchange(request, options, progress, error);
    if (!response) {
        const bool gave_up = cancel != nullptr && cancel->cancelled();
        if (!gave_up && !progress.request_cut && error != std::errc::timed_out) {
            directory_.on_unreachable(server.peer, server.boot_id);
        }
        if (!progress.request_started) {
            withdraw(server, call, call.grant);
        }
        return progress.request_started ? failure_at(call, HopOutcome::kUnknown, ErrorKind::kBackendFailed)
                                        : failure_at(call, HopOutcome::kNotSent, ErrorKind::kConnectFailed);
    }
    const auto result = hop::decode_hop_result(response->fields.find(hop::kResultHeader).value_or(""));
    if (!result) {
        return failure_at(call, HopOutcome::kUnknown, ErrorKind::kBackendFailed);
    }
    record_load(server, *result);
    GateAnswer answer;
    answer.result = *result;
    if (result->outcome == HopOutcome::kAnswered) {
        response->fields.remove(hop::kResultHeader);
        answer.response = std::move(response);
    }
    return answer;
}

std::optional<GateAnswer> HopClient::reserve(const membership::KnownServer& server, hop::HopRequest& call,
                                             net::CancelSignal* cancel) {
    const auto started = TimePoint::clock::now();
    Reservation reservation{server, call, cancel, reservation::beginReservation(started, call.max_wait),
                            started};
    std::optional<GateAnswer> refusal;
    while (!refusal && reservation.state.phase == reservation::CallerPhase::reserving) {
        refusal = ask(reservation);
    }
    if (refusal && !reservation.state.gateWasSilent) {
        withdraw(server, call, reservation.state.ticket);
    }
    const auto now = TimePoint::clock::now();
    const bool cancelled = cancel != nullptr && cancel->cancelled();
    if (!refusal && (cancelled || !tryCommit(reservation.state, now))) {
        withdraw(server, call, reservation.state.grant);
        refusal = failure_at(call, HopOutcome::kNotSent, ErrorKind::kQueueTimeout);
    }
    const auto* const result = reservation.state.gateWasSilent ? "timed-out"
                               : refusal                       ? "refused"
                                                               : "granted";
    context_.metrics.count_reservation(result);
    call.grant = reservation.state.grant;
    call.remaining = reduced(call.remaining, now - started);
    call.max_wait = reduced(call.max_wait, now - started);
    return refusal;
}

std::optional<GateAnswer> HopClient::ask(Reservation& reservation) {
    const auto& server = reservation.server;
    const auto sent = TimePoint::clock::now();
    auto call = reservation.call;
    call.reserve = true;
    call.ticket = reservation.state.ticket;
    call.remaining = reduced(call.remaining, sent - reservation.started);
    call.max_wait = reduced(call.max_wait, sent - reservation.started);
    auto message = reservation_message(call);
    // The progress of the request's own exchange stays untouched: nothing of the request has been sent.
    net::ExchangeProgress progress;
    std::error_code error;
    const auto client = client_for(server);
    const net::ExchangeOptions options{reservation::replyDeadline(sent), reservation.cancel};
    const auto response = client->exchange(message, options, progress, error);
    if (!response) {
        return on_no_reply(reservation, error);
    }
    const auto result = hop::decode_hop_result(response->fields.find(hop::kResultHeader).value_or(""));
    if (!result) {
        onRefused(reservation.state);
        return failure_at(call, HopOutcome::kNotSent, ErrorKind::kConnectFailed);
    }
    record_load(server, *result);
    const auto now = TimePoint::clock::now();
    if (result->outcome == HopOutcome::kGranted) {
        onGranted(reservation.state, now, result->grant, result->grant_time);
        return std::nullopt;
    }
    if (result->outcome == HopOutcome::kWaiting) {
        onWaiting(reservation.state, now, result->ticket);
    } else {
        onRefused(reservation.state);
    }
    if (reservation.state.phase == reservation::CallerPhase::reserving) {
        return std::nullopt;
    }
    GateAnswer refusal;
    refusal.result = *result;
    refusal.result.outcome = HopOutcome::kNotSent;
    return refusal;
}

GateAnswer HopClient::on_no_reply(Reservation& reservation, const std::error_code& error) {
    const auto& server = reservation.server;
    auto refusal = failure_at(reservation.call, HopOutcome::kNotSent, ErrorKind::kConnectFailed);
    const bool is_pool_full = error == std::errc::too_many_files_open;
    if (is_pool_full || (reservation.cancel != nullptr && reservation.cancel->cancelled())) {
        onRefused(reservation.state);
        return refusal;
    }
    onSilence(reservation.state);
    refusal.gate_was_silent = true;
    log_silent_gate(server);
    if (error != std::errc::timed_out) {
        directory_.on_unreachable(server.peer, server.boot_id);
    }
    return refusal;
}

void HopClient::withdraw(const membership::KnownServer& server, const hop::HopRequest& call,
                         std::uint64_t grant) {
    if (grant == 0) {
        return;
    }
    auto message_call = call;
    message_call.grant = 0;
    message_call.withdraw = grant;
    net::EventLoop::spawn([client = client_for(server), message_call] {
        auto message = reservation_message(message_call);
        net::ExchangeProgress progress;
        std::error_code error;
        const net::ExchangeOptions options{reservation::replyDeadline(TimePoint::clock::now())};
        // A lost withdrawal costs the gate the validity of one grant.
        (void)client->exchange(message, options, progress, error);
    });
}

void HopClient::record_load(const membership::KnownServer& server, const hop::HopResult& result) {
    directory_.on_load(server.peer, load_of(result));
    directory_.on_speed(TimePoint::clock::now(), server.peer, result.instance, result.slow_percent);
}

void HopClient::log_silent_gate(const membership::KnownServer& server) {
    ++silent_gates_;
    const auto now = TimePoint::clock::now();
    if (now < next_silence_line_) {
        return;
    }
    observability::log_event(observability::Event::kGateSilent, {{"peer", server.peer},
                                                                 {"server", server.server.instance},
                                                                 {"silent", std::to_string(silent_gates_)}});
    silent_gates_ = 0;
    next_silence_line_ = now + kSilenceLogInterval;
}

}  // namespace anisehold::sidecar
