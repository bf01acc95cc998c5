/// @file
/// Keyed authentication codes (HMAC-SHA256, truncated) and fast, unkeyed digests (XXH3). The values are part
/// of the wire and storage formats. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace anisehold {

/// Length of a truncated authentication code in bytes.
inline constexpr std::size_t kMacBytes = 16;

/// HMAC-SHA256 of `message` under `key`, truncated to `kMacBytes` raw bytes.
std::string message_authentication_code(std::string_view key, std::string_view message);

/// Compares two codes in a time that does not depend on where they differ.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// 64-bit XXH3 digest; not cryptographically secure.
std::uint64_t digest64(std::string_view data);

/// 64-bit XXH3 digest with a seed, used for rendezvous hashing scores.
std::uint64_t digest64(std::string_view data, std::uint64_t seed);

/// Lower-case hexadecimal of raw bytes.
std::string to_hex(std::string_view bytes);

}  // namespace anisehold
