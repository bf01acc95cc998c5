/// @file
/// Response bodies that identify their request and whether they are complete.
#pragma once

#include <string>
#include <string_view>

namespace anisehold::lab {

/// Header with the id of the client's request, passed on to all nested calls; only the lab uses it.
inline constexpr std::string_view kRequestHeader = "Lab-Request";

/// Returns a body of `bytes` bytes for `request_id`; slightly longer if the first line doesn't fit.
std::string make_answer_body(std::string_view kind, std::string_view request_id, std::size_t bytes);

enum class BodyCheck { kWhole, kShort, kForeign };

/// Checks whether `body` is the complete response to `request_id`, an incomplete one, or the response to
/// another request.
BodyCheck check_answer_body(std::string_view body, std::string_view kind, std::string_view request_id,
                            std::size_t bytes);

}  // namespace anisehold::lab
