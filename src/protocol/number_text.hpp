/// @file
/// Parses numbers, requiring that the whole text is a number. Pure.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace anisehold {

/// Empty if the text is empty, contains other characters or is out of the type's range. `base` applies to
/// integers.
template <typename Number, typename... Base>
std::optional<Number> parse_number(std::string_view text, Base... base) {
    Number number{};
    const auto* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, number, base...);
    return error == std::errc{} && stopped == end ? std::optional(number) : std::nullopt;
}

}  // namespace anisehold
