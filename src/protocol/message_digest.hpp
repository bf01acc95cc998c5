/// @file
/// Keyed authentication codes (HMAC-SHA256, truncated) and fast, unkeyed digests (XXH3). Their values are on
/// the wire and in the store. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace anisehold {

/// Length of a truncated authentication code in bytes.
inline constexpr std::size_t kMacBytes = 16;

/// HMAC-SHA256 of `message` under `key`, cut to `kMacBytes` raw bytes.
std::string message_authentication_code(std::string_view key, std::string_view message);

/// Compares two codes in time that doesn't depend on where they differ.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// 64-bit XXH3 digest; not for security.
std::uint64_t digest64(std::string_view data);

/// 64-bit XXH3 digest under a seed: scores for rendezvous hashing.
std::uint64_t digest64(std::string_view data, std::uint64_t seed);

/// Lower-case hexadecimal of raw bytes.
std::string to_hex(std::string_view bytes);

}  // namespace anisehold
