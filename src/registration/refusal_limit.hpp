/// @file
/// Limits how often refused heartbeats are logged, per writer, so that a writer that keeps sending them does
/// not fill the log. Owns the time of each writer's latest log entry; the sidecar writes the log.
#pragma once

#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::registration {

/// A writer that sends only refused heartbeats is logged once per interval.
inline constexpr seconds kRefusalLogInterval{60};
/// Maximum number of writers that are logged per interval, so that random writer names cost neither memory
/// nor log lines.
inline constexpr std::size_t kMaxLoggedWriters = 64;

/// The time at which each writer was last logged. Pure.
struct RefusalLimit {
    std::map<std::string, TimePoint> logged;
};

/// Whether a refused heartbeat of `writer` should be logged now; if so, it is recorded as logged.
inline bool should_log_refusal(RefusalLimit& limit, TimePoint now, const std::string& writer) {
    std::erase_if(limit.logged, [&](const auto& entry) { return now - entry.second >= kRefusalLogInterval; });
    return limit.logged.size() < kMaxLoggedWriters && limit.logged.emplace(writer, now).second;
}

}  // namespace anisehold::registration
