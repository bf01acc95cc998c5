/// @file
/// How often refused heartbeats are logged.
#pragma once

#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::registration {

/// A writer that sends nothing but refused heartbeats is told of once in this time.
inline constexpr seconds kRefusalPeriod{60};
/// Writers that are told apart; further ones aren't told of, so that names made up at random cost neither
/// memory nor log lines.
inline constexpr std::size_t kMostRefusedWriters = 64;

/// When each writer was last told of. Pure.
struct RefusalLimit {
    std::map<std::string, TimePoint> told;
};

/// Whether a refused heartbeat of `writer` is to be logged now; if so, it counts as told.
inline bool take_refusal(RefusalLimit& limit, TimePoint now, const std::string& writer) {
    std::erase_if(limit.told, [&](const auto& entry) { return now - entry.second >= kRefusalPeriod; });
    return limit.told.size() < kMostRefusedWriters && limit.told.emplace(writer, now).second;
}

}  // namespace anisehold::registration
