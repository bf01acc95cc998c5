/// @file
/// How often refused heartbeats are logged: once in a while for each writer, so that a writer that goes on
/// sending them doesn't fill the log. Owns when each was last logged; the sidecar logs.
#pragma once

#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::registration {

/// A writer that sends nothing but refused heartbeats is logged once in this time. Chosen, not measured.
inline constexpr seconds kRefusalLogInterval{60};
/// Most writers that are logged in that time; further ones aren't, so that names made up at random cost
/// neither memory nor log lines. Chosen, not measured.
inline constexpr std::size_t kMaxLoggedWriters = 64;

/// When each writer was last logged. Pure.
struct RefusalLimit {
    std::map<std::string, TimePoint> logged;
};

/// Whether a refused heartbeat of `writer` is to be logged now; if so, it counts as logged.
inline bool should_log_refusal(RefusalLimit& limit, TimePoint now, const std::string& writer) {
    std::erase_if(limit.logged, [&](const auto& entry) { return now - entry.second >= kRefusalLogInterval; });
    return limit.logged.size() < kMaxLoggedWriters && limit.logged.emplace(writer, now).second;
}

}  // namespace anisehold::registration
