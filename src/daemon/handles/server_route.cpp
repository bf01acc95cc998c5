#include "daemon/handles/server_route.hpp"

#include <algorithm>
#include <utility>

#include "protocol/retry_after.hpp"
#include "routing/balancer.hpp"

namespace anisehold::daemon {
namespace {

/// Maximum number of servers to which one attempt is sent.
constexpr int kMaxServersPerAttempt = 3;

/// Whether the call is known not to have run, so that another server may be tried.
bool may_try_another_server(const CallResult& result) {
    if (result.response || result.execution != Execution::kNotRun) {
        return false;
    }
    return result.error == ErrorKind::kConnectFailed || result.error == ErrorKind::kBackendRefused ||
           result.error == ErrorKind::kNoBackend;
}

net::HttpRequest gate_request(Call& call, const Endpoint& server, std::string_view key) {
    const auto now = TimePoint::clock::now();
    auto request = forwarded_request(call);
    const auto context = encode_call_context(call.context, key);
    const auto age = static_cast<std::uint64_t>(std::max(0LL, to_milliseconds(now - call.root_started)));
    request.fields.set("Host", call.service);
    request.fields.set(header::kContext, context);
    request.fields.set(header::kGate, encode_gate_request({server.text(), age}, context, key));
    request.fields.set(header::kTimeout, std::to_string(std::max(0LL, to_milliseconds(call.deadline - now))));
    return request;
}

}  // namespace

CallResult ServerRoute::route(Call& call) {
    const unsigned allowance = call.context.retry_allowance;
    auto result = try_servers(call);
    result.retries_used += allowance - call.context.retry_allowance;
    call.context.retry_allowance = allowance;
    return result;
}

/// Charges the call for the retries used at one server before the call moves to another server. False if the
/// call may not move: if calls nested in it have run, moving to another server counts as a retry.
bool ServerRoute::charge_for_server_change(Call& call, CallResult& result) {
    const unsigned used = std::min(std::exchange(result.retries_used, 0), call.context.retry_allowance);
    call.context.retry_allowance -= used;
    if (!result.nested_ran) {
        return true;
    }
    if (call.context.retry_allowance == 0) {
        return false;
    }
    --call.context.retry_allowance;
    return true;
}

CallResult ServerRoute::try_servers(Call& call) {
    std::vector<Endpoint> tried;
    auto result = CallResult::failure(ErrorKind::kNoBackend, retry_after::kNoServer);
    for (int attempt = 0; attempt < kMaxServersPerAttempt; ++attempt) {
        const auto now = TimePoint::clock::now();
        const auto chosen = routing::choose_server(registry_.candidates(now, call.service, tried),
                                                   context_.self.zone, context_.random);
        if (!chosen) {
            return result;
        }
        const bool streamed = !call.request->body.whole();
        context_.decisions.add(call.context.root_id, call.context.call_id,
                               observability::DecisionStep::kServerChosen, chosen->endpoint.text());
        result = route_to(call, chosen->endpoint, chosen->zone);
        if (streamed || !may_try_another_server(result) || !charge_for_server_change(call, result)) {
            return result;
        }
        tried.push_back(chosen->endpoint);
    }
    return result;
}

CallResult ServerRoute::route_to(Call& call, const Endpoint& server, const std::string& zone) {
    const auto gate = membership_.gate_of(server, zone);
    if (!gate || gate->id == context_.self.id) {
        auto result = gates_.dispatch(call, server);
        registry_.on_report(TimePoint::clock::now(), server, gates_.load_of(server));
        return result;
    }
    registry_.on_dispatch(server);
    auto result = ask_remote_gate(call, server, *gate);
    registry_.on_finish(server);
    return result;
}

net::HttpClient& ServerRoute::client_for(const membership::MemberInfo& member) {
    auto& client = clients_[member.call];
    if (!client) {
        client = std::make_unique<net::HttpClient>(context_.io, member.call);
    }
    return *client;
}

CallResult ServerRoute::ask_remote_gate(Call& call, const Endpoint& server,
                                        const membership::MemberInfo& gate) {
    auto request = gate_request(call, server, context_.settings.daemon_mesh_key);
    net::ExchangeProgress progress;
    std::error_code error;
    auto response = client_for(gate).exchange(request, {call.deadline, call.cancel}, progress, error);
    if (response) {
        return remote_result(std::move(*response), call, server);
    }
    if (call.cancel != nullptr && call.cancel->cancelled()) {
        return CallResult::failure(ErrorKind::kCancelled);
    }
    if (progress.connected && !progress.request_started) {
        // The deadline passed before anything was sent, which says nothing about the gate.
        return CallResult::failure(ErrorKind::kQueueTimeout, retry_after::kNoServer);
    }
    if (!progress.request_started) {
        membership_.mark_unreachable(gate.id);
        return CallResult::failure(ErrorKind::kConnectFailed, retry_after::kNoServer);
    }
    const bool timed_out = TimePoint::clock::now() >= call.deadline;
    auto result = CallResult::failure(timed_out ? ErrorKind::kDeadlineExceeded : ErrorKind::kBackendFailed,
                                      retry_after::kNoServer);
    // The number of retries used is unknown, so the whole allowance counts as used.
    result.retries_used = call.context.retry_allowance;
    if (!context_.has(config::Mechanism::kExactOutcomes)) {
        result.execution = Execution::kNotRun;
        result.error = ErrorKind::kConnectFailed;
    }
    return result;
}

CallResult ServerRoute::remote_result(net::HttpResponse response, const Call& call, const Endpoint& server) {
    const auto report_value = response.fields.find(header::kGateReport);
    const auto report = report_value ? decode_gate_report(*report_value) : std::nullopt;
    CallResult result;
    result.retries_used = call.context.retry_allowance;
    if (report) {
        result.retries_used = report->retries_used;
        result.overloaded_service = report->overloaded_service;
        result.nested_ran = report->nested_ran;
        result.server_leaving = report->leaving;
        result.retry_after = milliseconds(report->retry_after_ms);
        registry_.on_report(TimePoint::clock::now(), server,
                            {report->in_flight, report->queued, report->limit});
        if (report->leaving) {
            registry_.mark_leaving(TimePoint::clock::now(), server);
        }
    }
    const auto error_name = response.fields.find(header::kError);
    if (!error_name) {
        response.fields.remove(header::kGateReport);
        result.response = std::move(response);
        return result;
    }
    const auto kind = error_kind_from_name(*error_name).value_or(ErrorKind::kBackendFailed);
    result.error = kind;
    result.execution = answer_for(kind).execution;
    const auto execution = response.fields.find(header::kExecution);
    if (execution && *execution == execution_name(Execution::kNotRun)) {
        result.execution = Execution::kNotRun;
    }
    return result;
}

}  // namespace anisehold::daemon
