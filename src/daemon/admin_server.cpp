#include "daemon/admin_server.hpp"

#include <nlohmann/json.hpp>

#include "config/table.hpp"
#include "daemon/table_page.hpp"
#include "observability/events.hpp"
#include "protocol/message_digest.hpp"
#include "store/table_store.hpp"

namespace anisehold::daemon {
namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;
constexpr std::uint64_t kLargestTableBytes = 4 * 1024 * 1024;
constexpr milliseconds kPeerTimeout{500};
constexpr std::string_view kExplainPrefix = "/explain?id=";

net::HttpResponse json_response(unsigned status, const ordered_json& object) {
    constexpr int indent = 2;
    return net::make_response(status, "application/json",
                              object.dump(indent, ' ', false, ordered_json::error_handler_t::replace) + "\n");
}

ordered_json rows_json(const config::Table& table) {
    ordered_json rows = ordered_json::array();
    for (const auto& row : table.rows) {
        ordered_json cells;
        for (const auto column : config::kTableColumns) {
            cells[std::string(column)] = config::cell_text(row, column);
        }
        rows.push_back(std::move(cells));
    }
    return rows;
}

ordered_json changes_json(const std::vector<config::CellChange>& changes) {
    ordered_json list = ordered_json::array();
    for (const auto& change : changes) {
        list.push_back({{"row", change.row},
                        {"column", change.column},
                        {"before", change.before},
                        {"after", change.after}});
    }
    return list;
}

ordered_json errors_json(const std::vector<config::TableError>& errors) {
    ordered_json list = ordered_json::array();
    for (const auto& error : errors) {
        list.push_back({{"row", error.row}, {"column", error.column}, {"message", error.message}});
    }
    return list;
}

std::string accept_outcome_name(store::AcceptOutcome outcome) {
    switch (outcome) {
        case store::AcceptOutcome::kAccepted:
            return "accepted";
        case store::AcceptOutcome::kNothingToDo:
            return "nothing-to-do";
        case store::AcceptOutcome::kCollision:
            return "collision";
        case store::AcceptOutcome::kUnknown:
            return "unknown";
        case store::AcceptOutcome::kUnreachable:
            return "unreachable";
        case store::AcceptOutcome::kBadTable:
            return "bad-table";
    }
    return "unknown";
}

unsigned http_status_of(store::AcceptOutcome outcome) {
    switch (outcome) {
        case store::AcceptOutcome::kAccepted:
        case store::AcceptOutcome::kNothingToDo:
            return kOk;
        case store::AcceptOutcome::kCollision:
            return kConflict;
        case store::AcceptOutcome::kBadTable:
            return kBadRequest;
        case store::AcceptOutcome::kUnknown:
        case store::AcceptOutcome::kUnreachable:
            return kUnavailable;
    }
    return kUnavailable;
}

net::HttpServerLimits admin_limits() {
    net::HttpServerLimits limits;
    limits.body_bytes = kLargestTableBytes;
    return limits;
}

}  // namespace

AdminServer::AdminServer(DaemonContext& context, PeerClient& peers, MembershipService& membership,
                         DocumentService& documents, ClaimService& claims, GateService& gates,
                         routing::BackendRegistry& registry)
    : context_(context),
      peers_(peers),
      membership_(membership),
      documents_(documents),
      claims_(claims),
      gates_(gates),
      registry_(registry),
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
        return accept_table(request);
    }
    if (request.method == "POST" && target == "/lab/peers" && context_.settings.lab_enabled) {
        return set_peer_faults(request);
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
        return status();
    }
    if (target == "/events") {
        return events();
    }
    if (target == "/table") {
        return table();
    }
    if (target == "/table/zones") {
        return table_by_zone();
    }
    if (target.starts_with(kExplainPrefix)) {
        return explain(target.substr(kExplainPrefix.size()));
    }
    if (target == "/") {
        return net::make_response(kOk, "text/html; charset=utf-8", std::string(kTablePage));
    }
    return json_response(kNotFound, {{"error", "no such page"}});
}

/// Lab only: {"loss": SHARE, "cut": ["IP:PORT", ...]} with the peer addresses that nothing is sent to.
net::HttpResponse AdminServer::set_peer_faults(const net::HttpRequest& request) {
    const auto body = ordered_json::parse(request.body.prefix, nullptr, false);
    const bool shaped = body.is_object() && body.contains("cut") && body["cut"].is_array();
    if (!shaped) {
        return json_response(kBadRequest, {{"error", "the body must have cut"}});
    }
    context_.peer_faults = {};
    if (body.contains("loss") && body["loss"].is_number()) {
        context_.peer_faults.loss = body["loss"].get<double>();
    }
    for (const auto& text : body["cut"]) {
        const auto endpoint = text.is_string() ? parse_endpoint(text.get<std::string>()) : std::nullopt;
        if (endpoint) {
            context_.peer_faults.cut.insert(*endpoint);
        }
    }
    return json_response(kOk, {{"cut", context_.peer_faults.cut.size()}});
}

net::HttpResponse AdminServer::status() const {
    const auto now = TimePoint::clock::now();
    const auto table = documents_.table();
    ordered_json members = ordered_json::array();
    for (const auto& record : membership_.records()) {
        members.push_back({{"id", record.info.id},
                           {"zone", record.info.zone},
                           {"state", membership::member_state_name(record.state)},
                           {"incarnation", record.incarnation},
                           {"admin", record.info.admin.text()}});
    }
    ordered_json gates = ordered_json::array();
    for (const auto& gate : gates_.status()) {
        const auto* listed = registry_.find(gate.server);
        gates.push_back({{"server", gate.server.text()},
                         {"service", listed == nullptr ? "" : listed->service},
                         {"in_flight", gate.load.in_flight},
                         {"queued", gate.load.queued},
                         {"limit", gate.load.limit},
                         {"admitted_priority", gate.admitted_priority},
                         {"connections", gate.open_connections}});
    }
    ordered_json servers = ordered_json::array();
    for (const auto& server : registry_.servers()) {
        servers.push_back({{"server", server.endpoint.text()},
                           {"service", server.service},
                           {"zone", server.zone},
                           {"leaving", registry_.is_leaving(now, server.endpoint)},
                           {"ejected", registry_.is_ejected(now, server.endpoint)}});
    }
    const auto& holder = claims_.holder();
    return json_response(kOk, {{"id", context_.self.id},
                               {"zone", context_.self.zone},
                               {"stopping", stopping_},
                               {"calls_in_flight", gates_.calls_in_flight()},
                               {"control_bytes", context_.control_bytes},
                               {"table_revision", table ? table->revision() : 0},
                               {"change_id", table ? table->record().change_id : ""},
                               {"store_reader", documents_.is_store_reader()},
                               {"holder_epoch", documents_.holder_view().epoch},
                               {"claims_serving", holder.serving()},
                               {"claims_held", holder.size()},
                               {"members", std::move(members)},
                               {"gates", std::move(gates)},
                               {"servers", std::move(servers)}});
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

net::HttpResponse AdminServer::table() const {
    const auto table = documents_.table();
    ordered_json columns = ordered_json::array();
    for (const auto column : config::kTableColumns) {
        columns.push_back(column);
    }
    return json_response(kOk, {{"revision", table ? table->revision() : 0},
                               {"change_id", table ? table->record().change_id : ""},
                               {"editable", !context_.settings.daemon_operator_token.empty()},
                               {"columns", std::move(columns)},
                               {"rows", table ? rows_json(table->record().table) : ordered_json::array()}});
}

/// Table revisions of all members, by zone, asked from each member.
net::HttpResponse AdminServer::table_by_zone() {
    constexpr auto table_index = static_cast<std::size_t>(DocumentKind::kTable);
    ordered_json zones = ordered_json::object();
    // A copy, since the list may change while members are asked.
    const auto members = membership_.working_members();
    for (const auto& record : members) {
        std::uint64_t revision = documents_.revisions()[table_index];
        if (record.info.id != context_.self.id) {
            const auto reply = peers_.ask<RevisionsReply>(record.info.peer, RevisionsRequest{}, kPeerTimeout);
            revision = reply ? reply->revisions[table_index] : 0;
        }
        zones[record.info.zone].push_back({{"id", record.info.id}, {"table_revision", revision}});
    }
    return json_response(kOk, {{"zones", std::move(zones)}});
}

net::HttpResponse AdminServer::accept_table(const net::HttpRequest& request) {
    const auto& token = context_.settings.daemon_operator_token;
    const auto given = request.fields.find("Authorization").value_or("");
    if (token.empty() || !equal_in_constant_time(given, "Bearer " + token)) {
        return json_response(kForbidden, {{"error", "an operator token is needed"}});
    }
    const auto body = ordered_json::parse(request.body.prefix, nullptr, false);
    const bool shaped = body.is_object() && body.contains("base_csv") && body["base_csv"].is_string() &&
                        body.contains("csv") && body["csv"].is_string() && body.contains("revision") &&
                        body["revision"].is_number_unsigned() && body.contains("author") &&
                        body["author"].is_string();
    if (!shaped) {
        return json_response(kBadRequest,
                             {{"error", "the body must have base_csv, csv, revision and author"}});
    }
    const auto wanted = config::parse_table_csv(body["csv"].get<std::string>());
    auto base_table = config::parse_table_csv(body["base_csv"].get<std::string>());
    if (!wanted.errors.empty()) {
        return json_response(kBadRequest, {{"outcome", "bad-table"}, {"errors", errors_json(wanted.errors)}});
    }
    store::TableStore tables(documents_.store());
    std::error_code error;
    auto base = tables.load(error);
    if (!base) {
        return json_response(kUnavailable, {{"outcome", "unreachable"}, {"error", error.message()}});
    }
    if (base->revision != body["revision"].get<std::uint64_t>()) {
        // Edited from an older table: the compare-and-swap on that revision settles which cells collide.
        base->record.table = base_table.table;
        base->revision = body["revision"].get<std::uint64_t>();
    }
    const auto result = tables.accept(*base, wanted.table, body["author"].get<std::string>());
    return json_response(http_status_of(result.outcome), {{"outcome", accept_outcome_name(result.outcome)},
                                                          {"change_id", result.change_id},
                                                          {"revision", result.revision},
                                                          {"rebased", result.rebased},
                                                          {"changes", changes_json(result.changes)},
                                                          {"collisions", changes_json(result.collisions)},
                                                          {"errors", errors_json(result.errors)}});
}

}  // namespace anisehold::daemon
