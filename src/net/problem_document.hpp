/// @file
/// The problem document (RFC 9457) with which both programs respond to a request that no server answered.
/// Owns the order of its members; the caller sets header fields other than the content type.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "net/http_types.hpp"
#include "protocol/error_kind.hpp"

namespace anisehold::net {

/// Content of a problem document. Title, status and name are taken from the error kind.
struct Problem {
    ErrorKind error = ErrorKind::kNoBackend;
    std::string request_id;  ///< Empty if unknown; the member is written nevertheless.
    std::string type;        ///< URI of the problem type; omitted if empty.
    std::optional<Execution> execution;
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Creates a response with the status of the error kind and the document as its body. Bytes of the id that
/// aren't valid UTF-8 are replaced.
HttpResponse problem_response(const Problem& problem);

}  // namespace anisehold::net
