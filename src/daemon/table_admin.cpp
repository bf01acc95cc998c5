#include "daemon/table_admin.hpp"

#include <optional>
#include <string>

#include "config/table.hpp"
#include "daemon/json_response.hpp"
#include "protocol/message_digest.hpp"
#include "store/table_store.hpp"

namespace anisehold::daemon {
namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;
/// Timeout of a request for a member's table revision.
constexpr milliseconds kPeerTimeout{500};

/// An operator's change as sent by the table page.
struct TableEdit {
    std::string base_csv;
    std::string csv;
    std::uint64_t revision = 0;  ///< Revision of the table before the edit.
    std::string author;
};

/// Parses a change; nothing if the text is malformed.
std::optional<TableEdit> read_edit(const std::string& json_text) {
    const auto body = ordered_json::parse(json_text, nullptr, false);
    const bool well_formed = body.is_object() && body.contains("base_csv") && body["base_csv"].is_string() &&
                             body.contains("csv") && body["csv"].is_string() && body.contains("revision") &&
                             body["revision"].is_number_unsigned() && body.contains("author") &&
                             body["author"].is_string();
    if (!well_formed) {
        return std::nullopt;
    }
    return TableEdit{body["base_csv"].get<std::string>(), body["csv"].get<std::string>(),
                     body["revision"].get<std::uint64_t>(), body["author"].get<std::string>()};
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
        case store::AcceptOutcome::kUnchanged:
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
        case store::AcceptOutcome::kUnchanged:
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

}  // namespace

net::HttpResponse TableAdmin::table() const {
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

net::HttpResponse TableAdmin::table_by_zone() {
    constexpr auto table_index = static_cast<std::size_t>(DocumentKind::kTable);
    ordered_json zones = ordered_json::object();
    // A copy, because the list may change while members are asked.
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

net::HttpResponse TableAdmin::accept(const net::HttpRequest& request) {
    const auto& token = context_.settings.daemon_operator_token;
    const auto given = request.fields.find("Authorization").value_or("");
    if (token.empty() || !equal_in_constant_time(given, "Bearer " + token)) {
        return json_response(kForbidden, {{"error", "an operator token is needed"}});
    }
    const auto edit = read_edit(request.body.prefix);
    if (!edit) {
        return json_response(kBadRequest,
                             {{"error", "the body must have base_csv, csv, revision and author"}});
    }
    const auto wanted = config::parse_table_csv(edit->csv);
    auto edited = config::parse_table_csv(edit->base_csv);
    if (!wanted.errors.empty()) {
        return json_response(kBadRequest, {{"outcome", "bad-table"}, {"errors", errors_json(wanted.errors)}});
    }
    store::TableStore tables(documents_.store());
    std::error_code error;
    auto base = tables.load(error);
    if (!base) {
        return json_response(kUnavailable, {{"outcome", "unreachable"}, {"error", error.message()}});
    }
    if (base->revision != edit->revision) {
        // The edit is based on an older table; the compare-and-swap on its revision determines which cells
        // collide.
        base->record.table = std::move(edited.table);
        base->revision = edit->revision;
    }
    const auto result = tables.accept(*base, wanted.table, edit->author);
    return json_response(http_status_of(result.outcome), {{"outcome", accept_outcome_name(result.outcome)},
                                                          {"change_id", result.change_id},
                                                          {"revision", result.revision},
                                                          {"rebased", result.rebased},
                                                          {"changes", changes_json(result.changes)},
                                                          {"collisions", changes_json(result.collisions)},
                                                          {"errors", errors_json(result.errors)}});
}

}  // namespace anisehold::daemon
