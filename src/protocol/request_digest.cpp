#include "protocol/request_digest.hpp"

#include <xxhash.h>

#include <array>
#include <charconv>

#include "protocol/message_digest.hpp"
#include "protocol/number_text.hpp"

namespace anisehold {
namespace {

constexpr std::size_t kHalfDigits = 16;
constexpr int kHexadecimal = 16;

void append_hex(std::string& text, std::uint64_t value) {
    std::array<char, kHalfDigits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, kHexadecimal).ptr;
    text.append(kHalfDigits - static_cast<std::size_t>(end - digits.data()), '0');
    text.append(digits.data(), end);
}

}  // namespace

std::string RequestDigest::text() const {
    std::string text;
    text.reserve(2 * kHalfDigits);
    append_hex(text, high);
    append_hex(text, low);
    return text;
}

std::optional<RequestDigest> parse_request_digest(std::string_view text) {
    if (text.size() != 2 * kHalfDigits) {
        return std::nullopt;
    }
    const auto high = parse_number<std::uint64_t>(text.substr(0, kHalfDigits), kHexadecimal);
    const auto low = parse_number<std::uint64_t>(text.substr(kHalfDigits), kHexadecimal);
    return high && low ? std::optional(RequestDigest{*high, *low}) : std::nullopt;
}

CallerDigest caller_digest(std::string_view service) {
    return CallerDigest(digest64(service));
}

RequestDigest digest_of(const RequestTraits& traits) {
    // Each part is preceded by its length, so that different requests cannot concatenate to the same bytes.
    std::string head;
    for (const auto part : {traits.method, traits.host, traits.target}) {
        const std::uint64_t length = part.size();
        head.append(reinterpret_cast<const char*>(&length), sizeof length).append(part);
    }
    const auto seed = digest64(head);
    const auto head_digest = XXH3_128bits(head.data(), head.size());
    const auto body_digest = XXH3_128bits_withSeed(traits.body.data(), traits.body.size(), seed);
    return {head_digest.high64 ^ body_digest.high64, head_digest.low64 ^ body_digest.low64};
}

}  // namespace anisehold
