#include "protocol/duration_text.hpp"

#include <charconv>

namespace anisehold {
namespace {

constexpr double kMillisecondsPerSecond = 1'000;
/// Durations above about three years are rejected as mistakes.
constexpr double kLongestMs = 1e11;

}  // namespace

std::optional<milliseconds> parse_duration(std::string_view text) {
    double number = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc{}) {
        return std::nullopt;
    }
    const std::string_view unit(result.ptr, static_cast<std::size_t>(end - result.ptr));
    double in_ms = number;
    if (unit == "s") {
        in_ms *= kMillisecondsPerSecond;
    } else if (unit != "ms") {
        return std::nullopt;
    }
    const bool in_range = in_ms >= 0 && in_ms <= kLongestMs;
    return in_range ? std::optional(milliseconds(static_cast<long long>(in_ms))) : std::nullopt;
}

}  // namespace anisehold
