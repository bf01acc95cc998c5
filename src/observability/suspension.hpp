/// @file
/// Notices that the machine was suspended, from a clock that counts suspensions and one that doesn't. Pure;
/// who checks keeps the state.
#pragma once

#include <optional>

#include "protocol/time_types.hpp"

namespace anisehold::observability {

/// Less than that between the two clocks is what their readings, one after the other, differ by in a process
/// that is short of processor time. Chosen, not measured.
inline constexpr milliseconds kLeastSuspension{200};

/// How far the clock that counts suspensions was ahead of the one that doesn't, at the last check.
struct SuspensionWatch {
    std::optional<Duration> ahead;
};

/// How long the machine was suspended since the last check; nothing if it wasn't. `steady`: the time since
/// the epoch on the clock that stands still meanwhile. Pure.
inline std::optional<Duration> detect_suspension(SuspensionWatch& watch, TimePoint now, Duration steady) {
    const auto ahead = now.time_since_epoch() - steady;
    const auto gap = ahead - watch.ahead.value_or(ahead);
    watch.ahead = ahead;
    return gap >= kLeastSuspension ? std::optional(gap) : std::nullopt;
}

}  // namespace anisehold::observability
