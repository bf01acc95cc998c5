/// @file
/// Lengths of time as text: a number and its unit, "1500ms" or "2.5s". Used for settings and for the
/// platform's documents. Pure.
#pragma once

#include <optional>
#include <string_view>

#include "protocol/time_types.hpp"

namespace anisehold {

/// Nothing unless the text is a number that isn't negative, followed by `ms` or `s`.
std::optional<milliseconds> parse_duration(std::string_view text);

}  // namespace anisehold
