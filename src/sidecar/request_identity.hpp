/// @file
/// The identity of a request, computed in the same way by the caller's daemon and by the gate of the server.
#pragma once

#include <string_view>

#include "net/http_types.hpp"
#include "protocol/request_digest.hpp"

namespace anisehold::sidecar {

/// `caller`: the service on the machine where the request began. Of a streamed body only the buffered part
/// counts (`net::kBufferedBodyBytes`), which is the same in both daemons.
inline RequestIdentity identity_of(const net::HttpRequest& request, std::string_view caller) {
    const auto host = request.fields.find("Host").value_or("");
    return {digest_of({request.method, host, request.target, request.body.prefix}), caller_digest(caller)};
}

}  // namespace anisehold::sidecar
