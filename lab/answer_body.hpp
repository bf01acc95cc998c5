/// @file
/// Answer bodies that show whose answer they are and whether they are whole.
#pragma once

#include <string>
#include <string_view>

namespace anisehold::lab {

/// Header that names the client's request all down the chain; only the lab uses it.
inline constexpr std::string_view kRequestHeader = "Lab-Request";

/// A body of `bytes` bytes (or a little more, to hold the first line) that belongs to `request_id`.
std::string make_answer_body(std::string_view kind, std::string_view request_id, std::size_t bytes);

enum class BodyCheck { kWhole, kShort, kForeign };

/// Whether `body` is the whole answer to `request_id`, part of it, or somebody else's.
BodyCheck check_answer_body(std::string_view body, std::string_view kind, std::string_view request_id,
                            std::size_t bytes);

}  // namespace anisehold::lab
