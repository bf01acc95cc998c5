#include "config/table.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>

#include "config/csv.hpp"

namespace anisehold::config {
namespace {

using nlohmann::json;

constexpr unsigned kMaxPriority = 9;
constexpr unsigned kMaxWeight = 1'000;
constexpr unsigned kMaxLimit = 100'000;
constexpr unsigned kMaxTimeoutMs = 600'000;
constexpr unsigned kMaxRetries = 10;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxRows = 2'000;

using CellProblem = std::optional<std::string>;

bool is_name(std::string_view text) {
    const auto allowed = [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
               character == '_' || character == '.';
    };
    return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

CellProblem read_number(const std::string& text, unsigned minimum, unsigned maximum, unsigned& target) {
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < minimum || value > maximum) {
        return "\"" + text + "\" is not a whole number from " + std::to_string(minimum) + " to " +
               std::to_string(maximum);
    }
    target = value;
    return std::nullopt;
}

CellProblem read_kind(const std::string& text, RowKind& target) {
    if (text != "service" && text != "request") {
        return "\"" + text + "\" is not service or request";
    }
    target = text == "service" ? RowKind::kService : RowKind::kRequest;
    return std::nullopt;
}

CellProblem read_repeatable(const std::string& text, bool& target) {
    if (text != "yes" && text != "no") {
        return "\"" + text + "\" is not yes or no";
    }
    target = text == "yes";
    return std::nullopt;
}

/// "METHOD SERVICE /PATH"; empty for service rows.
CellProblem read_match(const std::string& text, TableRow& row) {
    if (text.empty()) {
        row.method.clear();
        row.path_prefix.clear();
        row.service.clear();
        return std::nullopt;
    }
    const auto first = text.find(' ');
    const auto second = first == std::string::npos ? first : text.find(' ', first + 1);
    if (second == std::string::npos || text.find(' ', second + 1) != std::string::npos) {
        return "\"" + text + "\" is not METHOD SERVICE /PATH";
    }
    row.method = text.substr(0, first);
    row.service = text.substr(first + 1, second - first - 1);
    row.path_prefix = text.substr(second + 1);
    const bool method_valid = row.method == "*" || (!row.method.empty() &&
                                                    std::all_of(row.method.begin(), row.method.end(),
                                                                [](char c) { return c >= 'A' && c <= 'Z'; }));
    if (!method_valid || !is_name(row.service) || row.path_prefix.empty() || row.path_prefix.front() != '/') {
        return "\"" + text + "\" is not METHOD SERVICE /PATH";
    }
    return std::nullopt;
}

CellProblem read_timeout(const std::string& text, milliseconds& target) {
    unsigned value = 0;
    auto problem = read_number(text, 1, kMaxTimeoutMs, value);
    if (!problem) {
        target = milliseconds(value);
    }
    return problem;
}

CellProblem read_name(const std::string& text, std::string& target) {
    if (!is_name(text)) {
        return "\"" + text + "\" is not a name of 1 to 64 letters, digits, '-', '_' or '.'";
    }
    target = text;
    return std::nullopt;
}

CellProblem read_cell(TableRow& row, std::string_view column, const std::string& text) {
    if (column == "name") {
        return read_name(text, row.name);
    }
    if (column == "kind") {
        return read_kind(text, row.kind);
    }
    if (column == "match") {
        return read_match(text, row);
    }
    if (column == "priority") {
        return read_number(text, 0, kMaxPriority, row.priority);
    }
    if (column == "weight") {
        return read_number(text, 1, kMaxWeight, row.weight);
    }
    if (column == "limit") {
        return read_number(text, 0, kMaxLimit, row.limit);
    }
    if (column == "timeout_ms") {
        return read_timeout(text, row.timeout_ms);
    }
    if (column == "retries") {
        return read_number(text, 0, kMaxRetries, row.retries);
    }
    if (column == "repeatable") {
        return read_repeatable(text, row.repeatable);
    }
    return "is not a column";
}

/// Checks between cells of one row; completes what a service row implies.
CellProblem finish_row(TableRow& row) {
    if (row.kind == RowKind::kService) {
        if (!row.method.empty()) {
            return "must be empty in a service row";
        }
        row.service = row.name;
        return std::nullopt;
    }
    if (row.method.empty()) {
        return "must be METHOD SERVICE /PATH in a request row";
    }
    return std::nullopt;
}

bool is_column(std::string_view name) {
    return std::find(kTableColumns.begin(), kTableColumns.end(), name) != kTableColumns.end();
}

/// Reads one row from (column, text) pairs in order.
class RowReader {
  public:
    RowReader(std::size_t line, std::string row_name, std::vector<TableError>& errors)
        : line_(line), row_name_(std::move(row_name)), errors_(errors) {}

    void cell(std::string_view column, const std::string& text) {
        if (auto problem = read_cell(row_, column, text)) {
            add_error(column, *problem);
        }
    }
    TableRow finish() {
        if (auto problem = finish_row(row_)) {
            add_error("match", *problem);
        }
        return std::move(row_);
    }
    void add_error(std::string_view column, std::string message) {
        errors_.push_back({line_, row_name_, std::string(column), std::move(message)});
    }

  private:
    std::size_t line_;
    std::string row_name_;
    std::vector<TableError>& errors_;
    TableRow row_;
};

std::vector<TableError> check_header(const CsvRecord& header) {
    std::vector<TableError> errors;
    for (const auto& column : header.fields) {
        if (!is_column(column)) {
            errors.push_back({header.line, "header", column, "is not a column"});
        }
        if (std::count(header.fields.begin(), header.fields.end(), column) > 1) {
            errors.push_back({header.line, "header", column, "stands twice"});
        }
    }
    for (const auto column : kTableColumns) {
        if (std::find(header.fields.begin(), header.fields.end(), column) == header.fields.end()) {
            errors.push_back({header.line, "header", std::string(column), "is missing"});
        }
    }
    return errors;
}

std::string name_of_record(const CsvRecord& header, const CsvRecord& record) {
    const auto found = std::find(header.fields.begin(), header.fields.end(), "name");
    const auto index = static_cast<std::size_t>(found - header.fields.begin());
    return index < record.fields.size() ? record.fields[index] : std::string();
}

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

const TableRow* Table::find(std::string_view name) const {
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const TableRow& row) { return row.name == name; });
    return found == rows.end() ? nullptr : &*found;
}

std::string TableError::text() const {
    const std::string place = line == 0 ? std::string() : "line " + std::to_string(line) + ", ";
    return place + "row \"" + row + "\", column \"" + column + "\": " + message;
}

TableResult parse_table_csv(std::string_view text) {
    TableResult result;
    const auto records = parse_csv(text);
    if (records.empty()) {
        result.errors.push_back({1, "header", "", "the table is empty"});
        return result;
    }
    const auto& header = records.front();
    result.errors = check_header(header);
    if (!result.errors.empty()) {
        return result;
    }
    for (std::size_t index = 1; index < records.size(); ++index) {
        const auto& record = records[index];
        RowReader reader(record.line, name_of_record(header, record), result.errors);
        if (record.fields.size() != header.fields.size()) {
            reader.add_error("", "has " + std::to_string(record.fields.size()) + " cells, not " +
                                     std::to_string(header.fields.size()));
            continue;
        }
        for (std::size_t column = 0; column < header.fields.size(); ++column) {
            reader.cell(header.fields[column], record.fields[column]);
        }
        result.table.rows.push_back(reader.finish());
    }
    // Rows that can't be read would only cause further errors about the table as a whole.
    if (result.errors.empty()) {
        result.errors = check_table(result.table);
    }
    return result;
}

std::string to_csv(const Table& table) {
    std::string text;
    for (const auto column : kTableColumns) {
        text += text.empty() ? "" : ",";
        text += column;
    }
    text += "\r\n";
    for (const auto& row : table.rows) {
        std::string line;
        for (const auto column : kTableColumns) {
            line += column == kTableColumns.front() ? "" : ",";
            line += csv_field(cell_text(row, column));
        }
        text += line + "\r\n";
    }
    return text;
}

std::string cell_text(const TableRow& row, std::string_view column) {
    if (column == "name") {
        return row.name;
    }
    if (column == "kind") {
        return row.kind == RowKind::kService ? "service" : "request";
    }
    if (column == "match") {
        return row.kind == RowKind::kService ? "" : row.method + " " + row.service + " " + row.path_prefix;
    }
    if (column == "priority") {
        return std::to_string(row.priority);
    }
    if (column == "weight") {
        return std::to_string(row.weight);
    }
    if (column == "limit") {
        return std::to_string(row.limit);
    }
    if (column == "timeout_ms") {
        return std::to_string(row.timeout_ms.count());
    }
    if (column == "retries") {
        return std::to_string(row.retries);
    }
    return row.repeatable ? "yes" : "no";
}

std::optional<TableError> set_cell(Table& table, std::string_view row, std::string_view column,
                                   const std::string& value) {
    const auto found = std::find_if(table.rows.begin(), table.rows.end(),
                                    [&](const TableRow& each) { return each.name == row; });
    if (found == table.rows.end()) {
        return TableError{0, std::string(row), std::string(column), "there is no such row"};
    }
    TableRow changed = *found;
    auto problem = read_cell(changed, column, value);
    if (!problem) {
        problem = finish_row(changed);
    }
    if (problem) {
        return TableError{0, std::string(row), std::string(column), *problem};
    }
    *found = std::move(changed);
    return std::nullopt;
}

std::vector<TableError> check_table(const Table& table) {
    std::vector<TableError> errors;
    std::set<std::string> names;
    std::set<std::string> services;
    for (const auto& row : table.rows) {
        if (!names.insert(row.name).second) {
            errors.push_back({0, row.name, "name", "stands twice"});
        }
        if (row.kind == RowKind::kService) {
            services.insert(row.name);
        }
    }
    std::set<std::string> matches;
    for (const auto& row : table.rows) {
        if (!services.contains(row.service)) {
            errors.push_back({0, row.name, "match", "service \"" + row.service + "\" has no row"});
        }
        if (row.kind == RowKind::kRequest && !matches.insert(cell_text(row, "match")).second) {
            errors.push_back({0, row.name, "match", "stands twice"});
        }
    }
    if (table.rows.empty()) {
        errors.push_back({0, "", "", "the table has no rows"});
    }
    if (table.rows.size() > kMaxRows) {
        errors.push_back({0, "", "", "the table has more than " + std::to_string(kMaxRows) + " rows"});
    }
    return errors;
}

std::vector<CellChange> changed_cells(const Table& before, const Table& after) {
    std::vector<CellChange> changes;
    const auto compare = [&](const std::string& name) {
        const auto* old_row = before.find(name);
        const auto* new_row = after.find(name);
        for (const auto column : kTableColumns) {
            const std::string old_text = old_row == nullptr ? "" : cell_text(*old_row, column);
            const std::string new_text = new_row == nullptr ? "" : cell_text(*new_row, column);
            if (old_text != new_text) {
                changes.push_back({name, std::string(column), old_text, new_text});
            }
        }
    };
    for (const auto& row : before.rows) {
        compare(row.name);
    }
    for (const auto& row : after.rows) {
        if (before.find(row.name) == nullptr) {
            compare(row.name);
        }
    }
    return changes;
}

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
    const bool shaped = object.is_object() && object.contains("rows") && object["rows"].is_array() &&
                        object.contains("sequence") && object["sequence"].is_number_unsigned() &&
                        is_text("change_id") && is_text("author") && is_text("accepted_at");
    if (!shaped) {
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
    const auto whole = check_table(result.record.table);
    result.errors.insert(result.errors.end(), whole.begin(), whole.end());
    return result;
}

}  // namespace anisehold::config
