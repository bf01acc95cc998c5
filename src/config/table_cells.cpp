#include "config/table_cells.hpp"

#include <algorithm>

#include "protocol/number_text.hpp"

namespace anisehold::config {
namespace {

// Bounds of cells. A larger number is treated as a mistake.
constexpr unsigned kMaxPriority = 9;
constexpr unsigned kMaxWeight = 1'000;
constexpr unsigned kMaxLimit = 100'000;
constexpr unsigned kMaxTimeoutMs = 600'000;
constexpr unsigned kMaxRetries = 10;
constexpr std::size_t kMaxNameLength = 64;

bool is_name(std::string_view text) {
    const auto allowed = [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
               character == '_' || character == '.';
    };
    return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

CellError read_number(const std::string& text, unsigned minimum, unsigned maximum, unsigned& target) {
    const auto value = parse_number<unsigned>(text);
    if (!value || *value < minimum || *value > maximum) {
        return "\"" + text + "\" is not a whole number from " + std::to_string(minimum) + " to " +
               std::to_string(maximum);
    }
    target = *value;
    return std::nullopt;
}

CellError read_kind(const std::string& text, RowKind& target) {
    if (text != "service" && text != "request") {
        return "\"" + text + "\" is not service or request";
    }
    target = text == "service" ? RowKind::kService : RowKind::kRequest;
    return std::nullopt;
}

CellError read_repeatable(const std::string& text, bool& target) {
    if (text != "yes" && text != "no") {
        return "\"" + text + "\" is not yes or no";
    }
    target = text == "yes";
    return std::nullopt;
}

/// Parses "METHOD SERVICE /PATH"; empty for service rows.
CellError read_match(const std::string& text, TableRow& row) {
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

CellError read_timeout(const std::string& text, milliseconds& target) {
    unsigned value = 0;
    auto problem = read_number(text, 1, kMaxTimeoutMs, value);
    if (!problem) {
        target = milliseconds(value);
    }
    return problem;
}

CellError read_name(const std::string& text, std::string& target) {
    if (!is_name(text)) {
        return "\"" + text + "\" is not a name of 1 to 64 letters, digits, '-', '_' or '.'";
    }
    target = text;
    return std::nullopt;
}

/// One column, with the functions that parse and format its cells.
struct Column {
    std::string_view name;
    CellError (*read)(TableRow& row, const std::string& text);
    std::string (*text)(const TableRow& row);
};

/// In the order of `kTableColumns`.
constexpr std::array kColumns{
    Column{"name", [](TableRow& row, const std::string& text) { return read_name(text, row.name); },
           [](const TableRow& row) { return row.name; }},
    Column{"kind", [](TableRow& row, const std::string& text) { return read_kind(text, row.kind); },
           [](const TableRow& row) {
               return std::string(row.kind == RowKind::kService ? "service" : "request");
           }},
    Column{"match", [](TableRow& row, const std::string& text) { return read_match(text, row); },
           [](const TableRow& row) {
               return row.kind == RowKind::kService ? std::string()
                                                    : row.method + " " + row.service + " " + row.path_prefix;
           }},
    Column{"priority",
           [](TableRow& row, const std::string& text) {
               return read_number(text, 0, kMaxPriority, row.priority);
           },
           [](const TableRow& row) { return std::to_string(row.priority); }},
    Column{
        "weight",
        [](TableRow& row, const std::string& text) { return read_number(text, 1, kMaxWeight, row.weight); },
        [](const TableRow& row) { return std::to_string(row.weight); }},
    Column{"limit",
           [](TableRow& row, const std::string& text) { return read_number(text, 0, kMaxLimit, row.limit); },
           [](const TableRow& row) { return std::to_string(row.limit); }},
    Column{"timeout_ms",
           [](TableRow& row, const std::string& text) { return read_timeout(text, row.timeout_ms); },
           [](const TableRow& row) { return std::to_string(row.timeout_ms.count()); }},
    Column{
        "retries",
        [](TableRow& row, const std::string& text) { return read_number(text, 0, kMaxRetries, row.retries); },
        [](const TableRow& row) { return std::to_string(row.retries); }},
    Column{"repeatable",
           [](TableRow& row, const std::string& text) { return read_repeatable(text, row.repeatable); },
           [](const TableRow& row) { return std::string(row.repeatable ? "yes" : "no"); }},
};
static_assert(kColumns.size() == kTableColumns.size());

const Column* find_column(std::string_view name) {
    const auto* found = std::find_if(kColumns.begin(), kColumns.end(),
                                     [&](const Column& column) { return column.name == name; });
    return found == kColumns.end() ? nullptr : found;
}

}  // namespace

bool is_column(std::string_view name) {
    return find_column(name) != nullptr;
}

CellError read_cell(TableRow& row, std::string_view column, const std::string& text) {
    const auto* known = find_column(column);
    return known == nullptr ? CellError("is not a column") : known->read(row, text);
}

std::string cell_text(const TableRow& row, std::string_view column) {
    const auto* known = find_column(column);
    return known == nullptr ? std::string() : known->text(row);
}

CellError complete_row(TableRow& row) {
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

void RowReader::cell(std::string_view column, const std::string& text) {
    if (auto problem = read_cell(row_, column, text)) {
        add_error(column, *problem);
    }
}

TableRow RowReader::finish() {
    if (auto problem = complete_row(row_)) {
        add_error("match", *problem);
    }
    return std::move(row_);
}

void RowReader::add_error(std::string_view column, std::string message) {
    errors_.push_back({line_, row_name_, std::string(column), std::move(message)});
}

}  // namespace anisehold::config
