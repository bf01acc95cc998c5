#include "config/table.hpp"

#include <algorithm>
#include <set>

#include "config/table_cells.hpp"

namespace anisehold::config {
namespace {

/// Maximum number of rows in a table.
constexpr std::size_t kMaxRows = 2'000;

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
        problem = complete_row(changed);
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

}  // namespace anisehold::config
