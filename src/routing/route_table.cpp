#include "routing/route_table.hpp"

namespace anisehold::routing {
namespace {

/// Whether `prefix` is a leading part of `path` that ends at a segment boundary.
bool is_path_prefix(std::string_view prefix, std::string_view path) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool fits(const config::TableRow& row, std::string_view service, std::string_view method,
          std::string_view path) {
    const bool method_fits = row.method == "*" || row.method == method;
    return row.kind == config::RowKind::kRequest && row.service == service && method_fits &&
           is_path_prefix(row.path_prefix, path);
}

bool is_more_specific(const config::TableRow& row, const config::TableRow& other) {
    if (row.path_prefix.size() != other.path_prefix.size()) {
        return row.path_prefix.size() > other.path_prefix.size();
    }
    return row.method != "*" && other.method == "*";
}

}  // namespace

RouteTable::RouteTable(config::TableRecord record, std::uint64_t revision)
    : record_(std::move(record)), revision_(revision) {}

std::optional<RouteDecision> RouteTable::find(std::string_view service, std::string_view method,
                                              std::string_view target) const {
    const auto* service_row = record_.table.find(service);
    if (service_row == nullptr || service_row->kind != config::RowKind::kService) {
        return std::nullopt;
    }
    const auto path = target.substr(0, target.find('?'));
    const config::TableRow* best = nullptr;
    for (const auto& row : record_.table.rows) {
        if (fits(row, service, method, path) && (best == nullptr || is_more_specific(row, *best))) {
            best = &row;
        }
    }
    return RouteDecision{best == nullptr ? *service_row : *best, *service_row};
}

}  // namespace anisehold::routing
