/// @file
/// Base64 (RFC 4648) for the keys and values in both stores' JSON. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace anisehold::store {

std::string base64_encode(std::string_view bytes);
/// Empty if the text is not valid base64.
std::optional<std::string> base64_decode(std::string_view text);

}  // namespace anisehold::store
