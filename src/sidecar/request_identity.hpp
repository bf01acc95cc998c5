/// @file
/// The identity of a request as the daemon near its caller and the gate of its server both take it.
#pragma once

#include <string_view>

#include "net/http_types.hpp"
#include "protocol/request_digest.hpp"

namespace anisehold::sidecar {

/// `caller`: the service on the machine where the request began. Of a streamed body only what was read of it
/// counts, which is the same at both: `net::kBufferedBodyBytes`.
inline RequestIdentity identity_of(const net::HttpRequest& request, std::string_view caller) {
    const auto host = request.fields.find("Host").value_or("");
    return {digest_of({request.method, host, request.target, request.body.prefix}), caller_digest(caller)};
}

}  // namespace anisehold::sidecar
