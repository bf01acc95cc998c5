#include <algorithm>

#include "config/csv.hpp"
#include "config/table_cells.hpp"

namespace anisehold::config {
namespace {

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

}  // namespace

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
    // Unreadable rows would only cause further errors in the checks of the whole table.
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

}  // namespace anisehold::config
