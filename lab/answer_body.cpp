#include "lab/answer_body.hpp"

namespace anisehold::lab {

std::string make_answer_body(std::string_view kind, std::string_view request_id, std::size_t bytes) {
    std::string body(kind);
    body += ' ';
    body += request_id;
    body += '\n';
    body.reserve(bytes);
    while (body.size() < bytes) {
        const auto remaining = bytes - body.size();
        body += request_id.substr(0, remaining);
    }
    return body;
}

BodyCheck check_answer_body(std::string_view body, std::string_view kind, std::string_view request_id,
                            std::size_t bytes) {
    const auto expected = make_answer_body(kind, request_id, bytes);
    if (body == expected) {
        return BodyCheck::kWhole;
    }
    const bool is_part = body.size() < expected.size() && expected.compare(0, body.size(), body) == 0;
    return is_part ? BodyCheck::kShort : BodyCheck::kForeign;
}

}  // namespace anisehold::lab
