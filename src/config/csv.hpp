/// @file
/// CSV parsing and formatting as defined by RFC 4180.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace anisehold::config {

/// One record, with its first line counted from 1.
struct CsvRecord {
    std::size_t line = 0;
    std::vector<std::string> fields;
};

/// Splits CSV text into records and skips blank lines. An unterminated quoted field ends at the end of the
/// text.
std::vector<CsvRecord> parse_csv(std::string_view text);

/// Formats one field, quoted if needed.
std::string csv_field(std::string_view value);

}  // namespace anisehold::config
