/// @file
/// Finds the table row that applies to a call of the table daemon. Owns one revision of the table.
#pragma once

#include <string>
#include <string_view>

#include "config/table.hpp"

namespace anisehold::routing {

/// The rows that apply to a call.
struct RouteDecision {
    config::TableRow row;          ///< The most specific row.
    config::TableRow service_row;  ///< The row of the called service.
};

/// An immutable table at a revision, prepared for lookups.
class RouteTable {
  public:
    RouteTable(config::TableRecord record, std::uint64_t revision);

    /// Returns the rows for a call, or nothing if the service has no row. Among request rows, the longest
    /// matching path takes precedence; at equal length, an exact method takes precedence over "*".
    std::optional<RouteDecision> find(std::string_view service, std::string_view method,
                                      std::string_view target) const;
    std::uint64_t revision() const { return revision_; }
    const config::TableRecord& record() const { return record_; }

  private:
    config::TableRecord record_;
    std::uint64_t revision_;
};

}  // namespace anisehold::routing
