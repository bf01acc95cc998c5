#include "sidecar/endpoints.hpp"

#include <limits>
#include <string>

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;
using registration::RegistryChange;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr double kPercent = 100;
constexpr std::string_view kMetricsPath = "/metrics";
/// Path under which operators list and clear suspects.
constexpr std::string_view kSuspectsPath = "/suspects/";

/// A daemon that knows no peers counts as ready after this time: it may be alone, or the store may be down.
constexpr seconds kAloneTimeout{5};

net::HttpResponse text_response(unsigned status, std::string text) {
    return net::make_response(status, "text/plain", std::move(text));
}

net::HttpResponse json_response(std::string text) {
    return net::make_response(kOk, "application/json", std::move(text));
}

net::HttpResponse not_found() {
    return text_response(kNotFound, "not found\n");
}

}  // namespace

net::HttpResponse Endpoints::handle_hop(net::HttpRequest& request, net::CancelSignal& cancel) {
    const auto header = request.fields.find(hop::kRequestHeader);
    if (!header) {
        return answer_configuration(request.target);
    }
    const auto call = hop::decode_hop_request(*header);
    if (!call) {
        return parts_.ingress.reject(ErrorKind::kBadRequest);
    }
    if (call->reserve || call->withdraw != 0) {
        return answer_reservation(*call, cancel);
    }
    request.fields.remove(hop::kRequestHeader);
    const auto needed_until = TimePoint::clock::now() + call->remaining;
    net::ExchangeProgress progress;
    auto answer = parts_.gate.run(std::move(request), *call, &cancel, progress);
    auto response = answer.response ? std::move(*answer.response) : text_response(kUnavailable, "");
    response.fields.set(hop::kResultHeader, encode(answer.result));
    response.needed_until = needed_until;
    return response;
}

net::HttpResponse Endpoints::reject_hop(ErrorKind kind) {
    auto response = parts_.ingress.reject(kind);
    response.fields.set(hop::kResultHeader, encode(make_failure(hop::HopOutcome::kNotSent, kind).result));
    return response;
}

net::HttpResponse Endpoints::answer_reservation(const hop::HopRequest& call, net::CancelSignal& cancel) {
    const auto answer = parts_.gate.reserve(call, &cancel);
    auto response = text_response(kOk, "");
    response.fields.set(hop::kResultHeader, encode(answer.result));
    return response;
}

net::HttpResponse Endpoints::answer_configuration(std::string_view target) const {
    return target == kConfigurationPath && parts_.configuration.version() != 0
               ? json_response(parts_.configuration.text())
               : not_found();
}

net::HttpResponse Endpoints::handle_registration(const net::HttpRequest& request) {
    std::string problem;
    const auto call = parts_.context.dialect.read_registration(request, problem);
    if (!call) {
        if (problem.empty()) {
            return not_found();
        }
        if (registration::should_log_refusal(refusals_, TimePoint::clock::now(), request.target)) {
            log_event(Event::kHeartbeatRefused, {{"target", request.target}, {"reason", problem}});
        }
        return text_response(kBadRequest, problem + "\n");
    }
    const auto change = parts_.gate.servers().on_registration(TimePoint::clock::now(), *call);
    if (change != RegistryChange::kNone && change != RegistryChange::kRefreshed) {
        parts_.peers.announce();
    }
    return json_response("{}");
}

net::HttpResponse Endpoints::handle_readiness(const net::HttpRequest& request) const {
    if (!parts_.context.dialect.is_readiness_call(request)) {
        return not_found();
    }
    return is_ready() ? text_response(kOk, "ready\n") : text_response(kUnavailable, "not ready\n");
}

bool Endpoints::is_ready() const {
    const bool knows_peers = parts_.context.store.has_listed() || parts_.directory.known_count() > 0 ||
                             TimePoint::clock::now() - started_ > kAloneTimeout;
    return !parts_.context.stop.has_begun() && parts_.configuration.version() != 0 && knows_peers;
}

net::HttpResponse Endpoints::handle_admin(const net::HttpRequest& request) {
    const auto path = routing::path_of(request.target);
    if (path.starts_with(kSuspectsPath)) {
        return handle_suspects(request.method, path.substr(kSuspectsPath.size()));
    }
    return path == kMetricsPath ? handle_metrics() : not_found();
}

net::HttpResponse Endpoints::handle_metrics() {
    auto& metrics = parts_.context.metrics;
    const auto now = TimePoint::clock::now();
    for (const auto& server : parts_.gate.servers().records(now)) {
        metrics.set_gate(server.instance, {server.in_flight, server.queued, server.limit});
        const auto rate = parts_.gate.servers().rate_limit(server.instance);
        metrics.set_server_rate(server.service,
                                rate ? per_second(*rate) : std::numeric_limits<double>::infinity());
        if (parts_.context.has(config::Mechanism::kServerSpeed)) {
            metrics.set_server_slowness(server.instance, server.slow_percent / kPercent);
        }
    }
    metrics.set_members("alive", parts_.directory.reachable_count(now));
    metrics.set_table_revision(parts_.configuration.version());
    return text_response(kOk, metrics.text());
}

net::HttpResponse Endpoints::handle_suspects(std::string_view method, std::string_view digest_text) {
    if (method == "GET" && digest_text.empty()) {
        return list_suspects();
    }
    const auto digest = parse_request_digest(digest_text);
    if (method != "DELETE" || !digest) {
        const std::string path(kSuspectsPath);
        return text_response(kBadRequest,
                             "GET " + path + " or DELETE " + path + "DIGEST, 32 hexadecimal digits\n");
    }
    return parts_.crashes.lift(*digest) ? text_response(kOk, "lifted\n")
                                        : text_response(kNotFound, "not remembered\n");
}

net::HttpResponse Endpoints::list_suspects() const {
    std::string text;
    for (const auto& each : parts_.crashes.remembered(TimePoint::clock::now())) {
        text += each.digest.text() + " crashes=" + std::to_string(each.crashes) +
                (each.is_condemned ? " condemned for_s=" : " suspected for_s=") +
                std::to_string(to_milliseconds(each.ends_in) / 1000) + "\n";
    }
    return text_response(kOk, std::move(text));
}

}  // namespace anisehold::sidecar
