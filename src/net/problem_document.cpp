#include "net/problem_document.hpp"

#include <nlohmann/json.hpp>

namespace anisehold::net {
namespace {

constexpr const char* kProblemMediaType = "application/problem+json";

using nlohmann::ordered_json;

ordered_json document_of(const Problem& problem) {
    const auto& answer = answer_for(problem.error);
    ordered_json document;
    if (!problem.type.empty()) {
        document["type"] = problem.type;
    }
    document["title"] = answer.title;
    document["status"] = answer.http_status;
    document["kind"] = answer.name;
    if (problem.execution) {
        document["execution"] = execution_name(*problem.execution);
    }
    document["request_id"] = problem.request_id;
    if (problem.retry_after) {
        document["retry_after_ms"] = problem.retry_after->count();
    }
    return document;
}

}  // namespace

HttpResponse problem_response(const Problem& problem) {
    constexpr int one_line = -1;
    constexpr bool ascii_only = false;
    auto text = document_of(problem).dump(one_line, ' ', ascii_only, ordered_json::error_handler_t::replace);
    return make_response(answer_for(problem.error).http_status, kProblemMediaType, std::move(text));
}

}  // namespace anisehold::net
