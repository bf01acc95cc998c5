/// @file
/// The operators' table: its rows, its validation, and its representations as CSV (table_csv.cpp) and as the
/// JSON in the store (table_record.cpp). Owns the columns' names and bounds (table_cells.cpp). Pure. Every
/// error in a text is reported with its row and column, and a table with an error isn't used.
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

/// One row. A service row applies to all calls to the service `name`. A request row applies to calls that
/// match its method, service and path, and takes precedence over the service's row.
struct TableRow {
    std::string name;
    RowKind kind = RowKind::kService;
    std::string method;              ///< Request rows: an HTTP method, or "*" for any method.
    std::string service;             ///< The called service; equals `name` in service rows.
    std::string path_prefix;         ///< Request rows: prefix of the path.
    unsigned priority = 5;           ///< 0 (most important, shed last) to 9 (shed first).
    unsigned weight = 1;             ///< Weight among calls of equal priority, 1 to 1000.
    unsigned limit = 0;              ///< Maximum concurrent calls per server; 0 uses the learned limit.
    milliseconds timeout_ms{2'000};  ///< Maximum duration of a call, 1 to 600,000 ms.
    unsigned retries = 0;            ///< Retries across the call chain of a root request, 0 to 10.
    bool repeatable = true;          ///< Whether the call may safely run twice.

    bool operator==(const TableRow&) const = default;
};

/// The columns, in the order and with the names of the header line.
inline constexpr std::array<std::string_view, 9> kTableColumns{
    "name", "kind", "match", "priority", "weight", "limit", "timeout_ms", "retries", "repeatable"};

/// The table: rows with distinct names.
struct Table {
    std::vector<TableRow> rows;

    const TableRow* find(std::string_view name) const;
    bool operator==(const Table&) const = default;
};

/// An error in a cell or row.
struct TableError {
    std::size_t line = 0;  ///< Line in the CSV text; 0 if the error has no line.
    std::string row;
    std::string column;
    std::string message;

    std::string text() const;
};

/// Result of parsing a table; valid only if `errors` is empty.
struct TableResult {
    Table table;
    std::vector<TableError> errors;
};

/// Parses and validates CSV (RFC 4180) with the header line `kTableColumns`, in any column order.
TableResult parse_table_csv(std::string_view text);
/// Formats a table as CSV: a header line, then one line per row.
std::string to_csv(const Table& table);

/// The text of one cell; empty for an unknown column.
std::string cell_text(const TableRow& row, std::string_view column);
/// Parses a text into one cell. Returns an error that names the row and column if the text is invalid.
std::optional<TableError> set_cell(Table& table, std::string_view row, std::string_view column,
                                   const std::string& value);
/// Checks the rules across rows: distinct names, and a service row for each request row's service.
std::vector<TableError> check_table(const Table& table);

/// A cell that differs between two tables; the cells of a missing row are shown as empty text.
struct CellChange {
    std::string row;
    std::string column;
    std::string before;
    std::string after;

    bool operator==(const CellChange&) const = default;
};

/// Returns all cells that differ.
std::vector<CellChange> changed_cells(const Table& before, const Table& after);

/// The record in the store under the table's key.
struct TableRecord {
    std::uint64_t sequence = 0;  ///< Sequence number: that of the replaced table plus one.
    std::string change_id;
    std::string author;
    std::string accepted_at;  ///< UTC, ISO 8601; informational only.
    Table table;
};

/// Result of parsing a record; valid only if `errors` is empty.
struct TableRecordResult {
    TableRecord record;
    std::vector<TableError> errors;
};

/// Formats a record as JSON.
std::string to_json_text(const TableRecord& record);
/// Parses and validates a record; errors name the row and column.
TableRecordResult parse_table_record(std::string_view json_text);

}  // namespace anisehold::config
