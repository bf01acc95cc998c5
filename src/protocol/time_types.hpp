/// @file
/// The time types that all decision logic takes as arguments; nothing below this layer reads a clock.
#pragma once

#include <chrono>

namespace anisehold {

/// A moment on the monotonic clock of this process; never compared across machines.
using TimePoint = std::chrono::steady_clock::time_point;
/// A length of time on that clock.
using Duration = std::chrono::steady_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds in `duration`, rounded down.
inline long long to_milliseconds(Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace anisehold
