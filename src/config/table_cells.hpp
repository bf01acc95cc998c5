/// @file
/// Text representation of table cells: the content of each column, its bounds, parsing and formatting. Shared
/// by the CSV and JSON representations of a table. Included only within src/config.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/table.hpp"

namespace anisehold::config {

/// Error message for a cell; nothing if the cell is valid.
using CellError = std::optional<std::string>;

bool is_column(std::string_view name);
/// Parses a text into one cell of a row. After an error the cells of the row may be partly changed.
CellError read_cell(TableRow& row, std::string_view column, const std::string& text);
/// Checks the rules across the cells of one row, and fills in the service of a service row. An error concerns
/// the `match` cell.
CellError complete_row(TableRow& row);

/// Builds one row from pairs of column and text, and collects the errors.
class RowReader {
  public:
    /// `line`: line in the CSV text, or 0.
    RowReader(std::size_t line, std::string row_name, std::vector<TableError>& errors)
        : line_(line), row_name_(std::move(row_name)), errors_(errors) {}

    void cell(std::string_view column, const std::string& text);
    /// Returns the row, which is valid if no error was added.
    TableRow finish();
    void add_error(std::string_view column, std::string message);

  private:
    std::size_t line_;
    std::string row_name_;
    std::vector<TableError>& errors_;
    TableRow row_;
};

}  // namespace anisehold::config
