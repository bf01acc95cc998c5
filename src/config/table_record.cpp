#include <nlohmann/json.hpp>

#include "config/table_cells.hpp"

namespace anisehold::config {
namespace {

using nlohmann::json;

json row_to_json(const TableRow& row) {
    json object;
    for (const auto column : kTableColumns) {
        object[std::string(column)] = cell_text(row, column);
    }
    return object;
}

TableRow row_from_json(const json& object, std::vector<TableError>& errors) {
    const bool named = object.is_object() && object.contains("name") && object["name"].is_string();
    const std::string name = named ? object["name"].get<std::string>() : std::string();
    RowReader reader(0, name, errors);
    if (!object.is_object()) {
        reader.add_error("", "is not an object");
        return reader.finish();
    }
    for (const auto column : kTableColumns) {
        const auto found = object.find(std::string(column));
        if (found == object.end() || !found->is_string()) {
            reader.add_error(column, "is missing");
            continue;
        }
        reader.cell(column, found->get<std::string>());
    }
    for (const auto& [key, value] : object.items()) {
        if (!is_column(key)) {
            reader.add_error(key, "is not a column");
        }
    }
    return reader.finish();
}

}  // namespace

std::string to_json_text(const TableRecord& record) {
    json rows = json::array();
    for (const auto& row : record.table.rows) {
        rows.push_back(row_to_json(row));
    }
    const json object{{"sequence", record.sequence},
                      {"change_id", record.change_id},
                      {"author", record.author},
                      {"accepted_at", record.accepted_at},
                      {"rows", std::move(rows)}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

TableRecordResult parse_table_record(std::string_view json_text) {
    TableRecordResult result;
    const auto object = json::parse(json_text, nullptr, false);
    const auto is_text = [&](const char* key) { return object.contains(key) && object[key].is_string(); };
    const bool well_formed = object.is_object() && object.contains("rows") && object["rows"].is_array() &&
                             object.contains("sequence") && object["sequence"].is_number_unsigned() &&
                             is_text("change_id") && is_text("author") && is_text("accepted_at");
    if (!well_formed) {
        result.errors.push_back({0, "", "", "the record is not a table in JSON"});
        return result;
    }
    result.record.sequence = object["sequence"].get<std::uint64_t>();
    result.record.change_id = object["change_id"].get<std::string>();
    result.record.author = object["author"].get<std::string>();
    result.record.accepted_at = object["accepted_at"].get<std::string>();
    for (const auto& row : object["rows"]) {
        result.record.table.rows.push_back(row_from_json(row, result.errors));
    }
    const auto table_errors = check_table(result.record.table);
    result.errors.insert(result.errors.end(), table_errors.begin(), table_errors.end());
    return result;
}

}  // namespace anisehold::config
