/// @file
/// Base64 as of RFC 4648, in which both stores' JSON has keys and values. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace anisehold::store {

std::string base64_encode(std::string_view bytes);
/// Nothing if the text isn't base64.
std::optional<std::string> base64_decode(std::string_view text);

}  // namespace anisehold::store
