/// @file
/// The time types that all decision logic takes as arguments; nothing below this layer reads a clock.
#pragma once

#include <chrono>
#include <ctime>

namespace anisehold {

/// The monotonic clock that also counts the time for which the machine was suspended, which the steady clock
/// doesn't: what ages (proofs, grants, leases, registrations, records, deadlines) has aged when the machine
/// is back. A reading costs 34 to 42 ns, one of the steady clock 33 to 35 ns (means of 10 million, twice
/// each, beside other load).
struct BootClock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): the standard's name.

    static time_point now() noexcept {
        timespec reading{};
        ::clock_gettime(CLOCK_BOOTTIME, &reading);
        return time_point(std::chrono::seconds(reading.tv_sec) + duration(reading.tv_nsec));
    }
};

/// A moment on that clock; never compared across machines.
using TimePoint = BootClock::time_point;
/// A length of time on that clock.
using Duration = BootClock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds in `duration`, rounded down.
inline long long to_milliseconds(Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// The same moment on the steady clock, as of now: what fibers' timers run by. Time for which the machine is
/// suspended later isn't counted.
inline std::chrono::steady_clock::time_point on_steady_clock(TimePoint moment) {
    using Steady = std::chrono::steady_clock;
    return moment == TimePoint::max() ? Steady::time_point::max()
                                      : Steady::now() + (moment - TimePoint::clock::now());
}

}  // namespace anisehold
