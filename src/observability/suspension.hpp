/// @file
/// Detects suspensions of the machine by comparing a clock that counts suspended time with a clock that does
/// not. Owns no state; the caller keeps it. Pure.
#pragma once

#include <optional>

#include "protocol/time_types.hpp"

namespace anisehold::observability {

/// Minimum difference reported as a suspension. Smaller differences arise between two consecutive clock
/// readings in a process short of processor time.
inline constexpr milliseconds kMinSuspension{200};

/// Lead of the clock that counts suspensions over the other clock at the last check.
struct SuspensionWatch {
    std::optional<Duration> lead;
};

/// Duration of a suspension since the last check; empty if there was none. `steady` is the time since the
/// epoch on the clock that stops during a suspension.
inline std::optional<Duration> detect_suspension(SuspensionWatch& watch, TimePoint now, Duration steady) {
    const auto lead = now.time_since_epoch() - steady;
    const auto gap = lead - watch.lead.value_or(lead);
    watch.lead = lead;
    return gap >= kMinSuspension ? std::optional(gap) : std::nullopt;
}

}  // namespace anisehold::observability
