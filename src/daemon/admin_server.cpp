#include "daemon/admin_server.hpp"

#include "daemon/http_limits.hpp"
#include "daemon/json_response.hpp"
#include "daemon/status_page.hpp"
#include "daemon/table_page.hpp"
#include "observability/events.hpp"

namespace anisehold::daemon {
namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr std::string_view kExplainPrefix = "/explain?id=";

}  // namespace

AdminServer::AdminServer(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                         DocumentService& documents, const ClaimService& claims, const GateService& gates,
                         const routing::BackendRegistry& registry)
    : context_(context),
      sources_{context, membership, documents, claims, gates, registry},
      table_(context, peers, membership, documents),
      server_(context.io, admin_limits(),
              {[this](net::HttpRequest& request, net::CancelSignal& /*cancel*/) { return handle(request); },
               [](ErrorKind kind) {
                   const auto& answer = answer_for(kind);
                   return net::make_response(answer.http_status, "text/plain",
                                             std::string(answer.title) + "\n");
               }}) {}

std::error_code AdminServer::start() {
    return server_.start(context_.settings.daemon_admin);
}

net::HttpResponse AdminServer::handle(net::HttpRequest& request) {
    const std::string_view target = request.target;
    if (request.method == "POST" && target == "/table/accept") {
        return table_.accept(request);
    }
    if (request.method != "GET") {
        return json_response(kBadRequest, {{"error", "only GET is served here"}});
    }
    if (target == "/metrics") {
        return net::make_response(kOk, "text/plain; version=0.0.4", context_.metrics.text());
    }
    if (target == "/healthz") {
        return net::make_response(stopping_ ? kUnavailable : kOk, "text/plain",
                                  stopping_ ? "draining\n" : "ok\n");
    }
    if (target == "/status") {
        return json_response(kOk, status_json(sources_, stopping_));
    }
    if (target == "/events") {
        return events();
    }
    if (target == "/table") {
        return table_.table();
    }
    if (target == "/table/zones") {
        return table_.table_by_zone();
    }
    if (target.starts_with(kExplainPrefix)) {
        return explain(target.substr(kExplainPrefix.size()));
    }
    if (target == "/") {
        return net::make_response(kOk, "text/html; charset=utf-8", std::string(kTablePage));
    }
    return json_response(kNotFound, {{"error", "no such page"}});
}

net::HttpResponse AdminServer::explain(std::string_view id) const {
    ordered_json steps = ordered_json::array();
    for (const auto& decision : context_.decisions.find(id)) {
        const auto at_us = std::chrono::duration_cast<microseconds>(decision.at.time_since_epoch()).count();
        steps.push_back({{"at_us", at_us},
                         {"member", context_.self.id},
                         {"call", decision.call_id},
                         {"step", observability::decision_step_name(decision.step)},
                         {"detail", decision.detail}});
    }
    return json_response(kOk, {{"request_id", std::string(id)}, {"steps", std::move(steps)}});
}

net::HttpResponse AdminServer::events() const {
    std::string lines;
    for (const auto& line : observability::recent_events()) {
        lines += line + "\n";
    }
    return net::make_response(kOk, "application/x-ndjson", std::move(lines));
}

}  // namespace anisehold::daemon
