#include "daemon/ingress.hpp"

#include <algorithm>
#include <charconv>

#include "net/problem_document.hpp"
#include "observability/events.hpp"
#include "protocol/message_digest.hpp"
#include "protocol/retry_after.hpp"

namespace anisehold::daemon {
namespace {

using observability::DecisionStep;
using observability::Event;
using observability::log_event;

/// Lengths of generated ids in hex digits, as in W3C Trace Context: a trace id and a span id.
constexpr std::size_t kRootIdDigits = 32;
constexpr std::size_t kCallIdDigits = 16;
/// Maximum timeout that a caller may request, and maximum Retry-After in a gate report.
constexpr long long kMaxTimeoutMs = 3'600'000;

/// Service name from the Host header, without the port.
std::string service_of(const net::HttpRequest& request) {
    const auto host = request.fields.find("Host").value_or("");
    return std::string(host.substr(0, host.find(':')));
}

std::optional<milliseconds> timeout_of(const net::HttpRequest& request) {
    const auto value = request.fields.find(header::kTimeout);
    long long timeout_ms = 0;
    if (!value ||
        std::from_chars(value->data(), value->data() + value->size(), timeout_ms).ec != std::errc{}) {
        return std::nullopt;
    }
    return milliseconds(std::clamp(timeout_ms, 0LL, kMaxTimeoutMs));
}

std::uint64_t identity_of(const Call& call) {
    std::string material = call.service;
    material += '\n' + call.request->method;
    material += '\n' + call.request->target;
    material += '\n';
    material += call.request->fields.find(header::kIdempotencyKey).value_or("");
    material += '\n' + call.request->body.prefix;
    return digest64(material);
}

GateReport report_for(const CallResult& result, const admission::GateLoad& load) {
    GateReport report;
    report.retries_used = result.retries_used;
    report.overloaded_service = result.overloaded_service;
    report.nested_ran = result.nested_ran;
    report.leaving = result.server_leaving;
    report.in_flight = load.in_flight;
    report.queued = load.queued;
    report.limit = load.limit;
    report.retry_after_ms =
        static_cast<unsigned>(std::clamp(to_milliseconds(result.retry_after), 0LL, kMaxTimeoutMs));
    return report;
}

}  // namespace

Ingress::Ingress(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                 DocumentService& documents, ClaimService& claims, GateService& gates,
                 routing::BackendRegistry& registry)
    : context_(context),
      documents_(documents),
      gates_(gates),
      server_route_(context, membership, registry, gates),
      retry_route_(context, server_route_),
      claim_route_(context, claims, retry_route_),
      nested_route_(context, peers, membership, gates, claim_route_),
      early_refusal_route_(context, claim_route_),
      root_route_(context, gates, early_refusal_route_) {}

net::HttpResponse Ingress::handle(net::HttpRequest& request, net::CancelSignal& cancel) {
    return request.fields.find(header::kGate) ? handle_gate_request(request, cancel)
                                              : handle_call(request, cancel);
}

net::HttpResponse Ingress::reject(ErrorKind kind) {
    context_.metrics.count_error("", kind);
    return error_response(CallResult::failure(kind, retry_after::kServeDefault), "");
}

std::string Ingress::random_hex(std::size_t digits) {
    std::string bytes;
    while (bytes.size() * 2 < digits) {
        bytes.push_back(static_cast<char>(context_.random() & 0xFFU));
    }
    return to_hex(bytes);
}

std::optional<ErrorKind> Ingress::prepare(net::HttpRequest& request, Call& call) {
    call.service = service_of(request);
    call.received = TimePoint::clock::now();
    call.root_started = call.received;
    const auto table = documents_.table();
    if (!table) {
        return ErrorKind::kNoTable;
    }
    auto route = table->find(call.service, request.method, request.target);
    if (!route) {
        return ErrorKind::kUnknownService;
    }
    call.route = std::move(*route);
    const auto timeout = timeout_of(request);
    call.deadline =
        call.received + std::min(timeout.value_or(call.route.row.timeout_ms), call.route.row.timeout_ms);
    call.identity = identity_of(call);
    return std::nullopt;
}

void Ingress::set_contexts(const net::HttpRequest& request, Call& call) {
    const auto value = request.fields.find(header::kContext);
    if (value) {
        call.parent = decode_call_context(*value, context_.settings.daemon_mesh_key);
        if (!call.parent) {
            log_event(Event::kContextRefused, {{"service", call.service}});
        }
    }
    call.context.call_id = random_hex(kCallIdDigits);
    call.context.home = context_.self.id;
    if (call.parent) {
        call.context.root_id = call.parent->root_id;
        call.context.priority = call.parent->priority;
        call.context.depth = call.parent->depth + 1;
        call.context.dispatched_at_most_once = call.parent->dispatched_at_most_once;
        return;
    }
    const auto trace_id = trace_id_of(request.fields.find(header::kTraceParent).value_or(""));
    call.context.root_id = trace_id ? *trace_id : random_hex(kRootIdDigits);
    call.context.priority = call.route.row.priority;
    call.context.retry_allowance = call.route.row.retries;
}

net::HttpResponse Ingress::handle_call(net::HttpRequest& request, net::CancelSignal& cancel) {
    Call call;
    call.request = &request;
    call.cancel = &cancel;
    const auto problem = prepare(request, call);
    set_contexts(request, call);
    context_.decisions.add(call.context.root_id, call.context.call_id, DecisionStep::kReceived,
                           request.method + " " + call.service + request.target);
    if (problem) {
        return finish(call, CallResult::failure(*problem, retry_after::kServeDefault));
    }
    if (call.context.depth > kMaxDepth) {
        return finish(call, CallResult::failure(ErrorKind::kTooDeep));
    }
    RouteHandle& route = call.is_root() ? static_cast<RouteHandle&>(root_route_) : nested_route_;
    auto result = route.route(call);
    const bool unclaimed =
        call.is_root() && !call.route.row.repeatable && !call.context.dispatched_at_most_once;
    if (!result.response && unclaimed && result.execution == Execution::kNotRun) {
        // No claim was granted to this attempt, so an earlier attempt with the same key may have run.
        result.execution = Execution::kAttemptNotRun;
    }
    return finish(call, std::move(result));
}

net::HttpResponse Ingress::handle_gate_request(net::HttpRequest& request, net::CancelSignal& cancel) {
    const auto& key = context_.settings.daemon_mesh_key;
    const auto context_value = request.fields.find(header::kContext).value_or("");
    const auto asked = decode_gate_request(*request.fields.find(header::kGate), context_value, key);
    const auto call_context = decode_call_context(context_value, key);
    const auto server = asked ? parse_endpoint(asked->server) : std::nullopt;
    if (!asked || !call_context || !server) {
        log_event(Event::kContextRefused, {{"header", std::string(header::kGate)}});
        return reject(ErrorKind::kBadRequest);
    }
    Call call;
    call.request = &request;
    call.cancel = &cancel;
    CallResult result;
    if (const auto problem = prepare(request, call)) {
        result = CallResult::failure(*problem, retry_after::kServeDefault);
    } else {
        call.context = *call_context;
        call.root_started = call.received - milliseconds(asked->root_age_ms);
        if (call.context.depth > 0) {
            call.parent = call.context;
        }
        result = gates_.dispatch(call, *server);
    }
    const auto report = report_for(result, gates_.load_of(*server));
    auto response =
        result.response ? std::move(*result.response) : error_response(result, call.context.root_id);
    response.fields.set(header::kGateReport, encode_gate_report(report));
    return response;
}

net::HttpResponse Ingress::finish(const Call& call, CallResult result) {
    const auto& row = call.route.row.name;
    const auto elapsed = TimePoint::clock::now() - call.received;
    if (result.response) {
        context_.metrics.count_answer(row, result.response->status, elapsed);
        context_.decisions.add(call.context.root_id, call.context.call_id, DecisionStep::kAnswered,
                               "status " + std::to_string(result.response->status));
        result.response->fields.set(header::kRequestId, call.context.root_id);
        return std::move(*result.response);
    }
    const auto& answer = answer_for(result.error);
    context_.metrics.count_error(row, result.error);
    context_.decisions.add(call.context.root_id, call.context.call_id, DecisionStep::kRefused,
                           std::string(answer.name));
    observability::log_answer(result.error, {{"request_id", call.context.root_id},
                                             {"service", call.service},
                                             {"row", row},
                                             {"execution", std::string(execution_name(result.execution))}});
    return error_response(result, call.context.root_id);
}

net::HttpResponse Ingress::error_response(const CallResult& result, const std::string& request_id) {
    const auto& answer = answer_for(result.error);
    net::Problem problem{result.error, request_id, "about:blank", result.execution, std::nullopt};
    if (answer.retry_advice == RetryAdvice::kSoon) {
        // Jitter prevents callers that were refused together from retrying at the same time.
        const auto base = std::max<Duration>(result.retry_after, milliseconds(1));
        const auto jittered = std::chrono::duration_cast<Duration>(
            base * (1.0 + retry_after::kServeSpread * context_.random_unit()));
        problem.retry_after = milliseconds(to_milliseconds(jittered));
    }
    auto response = net::problem_response(problem);
    response.fields.set(header::kError, std::string(answer.name));
    response.fields.set(header::kExecution, std::string(execution_name(result.execution)));
    if (!request_id.empty()) {
        response.fields.set(header::kRequestId, request_id);
    }
    if (problem.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retry_after);
        response.fields.set(header::kRetryAfter, std::to_string(seconds.count()));
    }
    return response;
}

}  // namespace anisehold::daemon
