/// @file
/// Parses durations written as a number and a unit, such as "1500ms" or "2.5s", in settings and in the
/// platform's documents. Pure.
#pragma once

#include <optional>
#include <string_view>

#include "protocol/time_types.hpp"

namespace anisehold {

/// Parses a non-negative number followed by `ms` or `s`; empty for any other text.
std::optional<milliseconds> parse_duration(std::string_view text);

}  // namespace anisehold
