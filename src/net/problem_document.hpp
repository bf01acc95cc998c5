/// @file
/// The problem document (RFC 9457) in which both programs answer a request that no server answered. Owns the
/// order of its members; header lines beside the content type are the caller's.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "net/http_types.hpp"
#include "protocol/error_kind.hpp"

namespace anisehold::net {

/// What a document says. Title, status and name come from the error kind's row.
struct Problem {
    ErrorKind error = ErrorKind::kNoBackend;
    std::string request_id;  ///< Empty if it isn't known; the member is there even so.
    std::string type;        ///< URI of the kind of problem; left out if empty.
    std::optional<Execution> execution;
    std::optional<std::chrono::milliseconds> retry_after;
};

/// The answer with the kind's status and the document as its body. Bytes of the id that aren't UTF-8 are
/// replaced.
HttpResponse problem_response(const Problem& problem);

}  // namespace anisehold::net
