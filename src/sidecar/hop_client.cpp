#include "sidecar/hop_client.hpp"

#include "sidecar/connection_limits.hpp"

namespace anisehold::sidecar {
namespace {

using hop::HopOutcome;

/// Time beyond the request's deadline for which the gate's response is awaited; longer than the gate waits
/// for its server.
constexpr milliseconds kResponseSlack{60};

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
        if (!gave_up && error != std::errc::timed_out) {
            directory_.on_unreachable(server.peer, server.boot_id);
        }
        return progress.request_started ? failure_at(call, HopOutcome::kUnknown, ErrorKind::kBackendFailed)
                                        : failure_at(call, HopOutcome::kNotSent, ErrorKind::kConnectFailed);
    }
    const auto result = hop::decode_hop_result(response->fields.find(hop::kResultHeader).value_or(""));
    if (!result) {
        return failure_at(call, HopOutcome::kUnknown, ErrorKind::kBackendFailed);
    }
    directory_.on_load(server.peer, load_of(*result));
    directory_.on_speed(TimePoint::clock::now(), server.peer, result->instance, result->slow_percent);
    GateAnswer answer;
    answer.result = *result;
    if (result->outcome == HopOutcome::kAnswered) {
        response->fields.remove(hop::kResultHeader);
        answer.response = std::move(response);
    }
    return answer;
}

}  // namespace anisehold::sidecar
