/// @file
/// Reading and writing of CSV as of RFC 4180.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace anisehold::config {

/// One record and the line it starts on, counted from 1.
struct CsvRecord {
    std::size_t line = 0;
    std::vector<std::string> fields;
};

/// Splits CSV text into records; blank lines are skipped. An unterminated quote ends at the end of the text.
std::vector<CsvRecord> parse_csv(std::string_view text);

/// One field, quoted where needed.
std::string csv_field(std::string_view value);

}  // namespace anisehold::config
