/// @file
/// The operators' table: its rows, its checks, and its forms as CSV (table_csv.cpp) and as the JSON that the
/// store holds (table_record.cpp). Owns the columns' names and bounds (table_cells.cpp). Pure; every mistake
/// in a text is reported with its row and column, and a table with one isn't used.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::config {

enum class RowKind { kService, kRequest };

/// One row. A service row applies to every call to the service `name`; a request row applies to calls that
/// fit `match`, and goes before the service's row.
struct TableRow {
    std::string name;
    RowKind kind = RowKind::kService;
    std::string method;              ///< Request rows: an HTTP method or "*".
    std::string service;             ///< The service called; equals `name` in service rows.
    std::string path_prefix;         ///< Request rows: leading part of the path.
    unsigned priority = 5;           ///< 0 (most important, shed last) to 9 (shed first).
    unsigned weight = 1;             ///< Share among calls of equal priority, 1 to 1000.
    unsigned limit = 0;              ///< Most concurrent calls per server; 0 leaves it to what is learned.
    milliseconds timeout_ms{2'000};  ///< Longest time that a call is held, 1 to 600,000 ms.
    unsigned retries = 0;            ///< Retries over the whole chain below a root request, 0 to 10.
    bool repeatable = true;          ///< Whether running the call twice is harmless.

    bool operator==(const TableRow&) const = default;
};

/// The columns, in order, as named in the header line.
inline constexpr std::array<std::string_view, 9> kTableColumns{
    "name", "kind", "match", "priority", "weight", "limit", "timeout_ms", "retries", "repeatable"};

/// Rows with distinct names.
struct Table {
    std::vector<TableRow> rows;

    const TableRow* find(std::string_view name) const;
    bool operator==(const Table&) const = default;
};

/// One bad cell or row.
struct TableError {
    std::size_t line = 0;  ///< Line in the CSV text, or 0.
    std::string row;
    std::string column;
    std::string message;

    std::string text() const;
};

/// A table, usable only when `errors` is empty.
struct TableResult {
    Table table;
    std::vector<TableError> errors;
};

/// Reads and checks CSV (RFC 4180) with the header line `kTableColumns`, in any column order.
TableResult parse_table_csv(std::string_view text);
/// CSV with a header line and one line a row.
std::string to_csv(const Table& table);

/// The text of one cell; empty for an unknown column.
std::string cell_text(const TableRow& row, std::string_view column);
/// Sets one cell from text; an error names the row and column.
std::optional<TableError> set_cell(Table& table, std::string_view row, std::string_view column,
                                   const std::string& value);
/// Checks that hold over the whole table (distinct names, request rows' services present).
std::vector<TableError> check_table(const Table& table);

/// A cell that differs between two tables; an absent row shows as empty text.
struct CellChange {
    std::string row;
    std::string column;
    std::string before;
    std::string after;

    bool operator==(const CellChange&) const = default;
};

/// All cells that differ.
std::vector<CellChange> changed_cells(const Table& before, const Table& after);

/// What the store holds under the table's key.
struct TableRecord {
    std::uint64_t sequence = 0;  ///< One more than that of the table it replaced.
    std::string change_id;
    std::string author;
    std::string accepted_at;  ///< UTC, ISO 8601; for people only.
    Table table;
};

/// A record, usable only when `errors` is empty.
struct TableRecordResult {
    TableRecord record;
    std::vector<TableError> errors;
};

/// JSON text of a record.
std::string to_json_text(const TableRecord& record);
/// Parses and checks a record; errors name row and column.
TableRecordResult parse_table_record(std::string_view json_text);

}  // namespace anisehold::config
