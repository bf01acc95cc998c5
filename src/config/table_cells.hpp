/// @file
/// The cells of a table's rows as text: what each column holds, its bounds, and its two directions. What the
/// CSV and the JSON form of a table share. Included only inside config/.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/table.hpp"

namespace anisehold::config {

/// What is wrong with a cell, in words; nothing if it is good.
using CellProblem = std::optional<std::string>;

bool is_column(std::string_view name);
/// Sets one cell of a row from text; the row keeps its value if that is bad.
CellProblem read_cell(TableRow& row, std::string_view column, const std::string& text);
/// Checks between cells of one row; completes what a service row implies. The problem is the `match` cell's.
CellProblem finish_row(TableRow& row);

/// Reads one row from (column, text) pairs and collects what is wrong with them.
class RowReader {
  public:
    /// `line`: in the CSV text, or 0.
    RowReader(std::size_t line, std::string row_name, std::vector<TableError>& errors)
        : line_(line), row_name_(std::move(row_name)), errors_(errors) {}

    void cell(std::string_view column, const std::string& text);
    /// The row, which is good if no error was added.
    TableRow finish();
    void add_error(std::string_view column, std::string message);

  private:
    std::size_t line_;
    std::string row_name_;
    std::vector<TableError>& errors_;
    TableRow row_;
};

}  // namespace anisehold::config
