/// @file
/// Exponential decay by half-lives, for counts and means that forget old events. Pure; relies only on the
/// time types.
#pragma once

#include <cmath>
#include <numbers>

#include "protocol/time_types.hpp"

namespace anisehold {

/// Returns the part of a decayed value, from 0 to 1, that is left after `elapsed`.
inline double kept_part(Duration elapsed, double half_life_s) {
    return std::exp2(-std::chrono::duration<double>(elapsed).count() / half_life_s);
}

/// Returns the seconds over which a decayed count of events at a steady rate adds up: the count divided by
/// them is the rate per second.
constexpr double count_window_s(double half_life_s) {
    return half_life_s / std::numbers::ln2;
}

}  // namespace anisehold
