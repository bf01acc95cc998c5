/// @file
/// A call passing through the table daemon, and its result. A call is a root request or a nested call; each
/// handle in daemon/handles does its part and passes the call to the next handle.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/http_types.hpp"
#include "protocol/call_context.hpp"
#include "protocol/error_kind.hpp"
#include "protocol/time_types.hpp"
#include "routing/route_table.hpp"

namespace anisehold::daemon {

/// A call being routed. The connection that received the call owns the request and the cancel signal.
struct Call {
    net::HttpRequest* request = nullptr;
    net::CancelSignal* cancel = nullptr;
    std::string service;
    routing::RouteDecision route;
    CallContext context;                ///< Context of this call; the allowance is the remaining one.
    std::optional<CallContext> parent;  ///< Context of the calling call; empty for a root request.
    std::uint64_t identity = 0;         ///< Digest of service, method, target, idempotency key and body.
    TimePoint received;
    TimePoint root_started;
    TimePoint deadline;

    bool is_root() const { return !parent.has_value(); }
};

/// The result of a call: a server's response, or an error kind of the daemon.
struct CallResult {
    std::optional<net::HttpResponse> response;
    ErrorKind error = ErrorKind::kBackendFailed;   ///< Valid only without a response.
    Execution execution = Execution::kMayHaveRun;  ///< Valid only without a response.
    Duration retry_after{};
    unsigned retries_used = 0;       ///< Retries used by the call and all calls nested in it.
    std::string overloaded_service;  ///< Service that refused the call or a nested call for overload; empty
                                     ///< if none did.
    bool nested_ran = false;         ///< Whether a call nested in this one may have run.
    bool server_leaving = false;

    bool refused_by_overload() const { return !overloaded_service.empty(); }

    /// A result without a server's response; the execution state follows from the error kind.
    static CallResult failure(ErrorKind kind, Duration retry_after = {}) {
        CallResult result;
        result.error = kind;
        result.execution = answer_for(kind).execution;
        result.retry_after = retry_after;
        return result;
    }
    /// Like `failure`, for a call that `service` refused because of overload.
    static CallResult refusal(ErrorKind kind, const std::string& service, Duration retry_after) {
        auto result = failure(kind, retry_after);
        result.overloaded_service = service;
        return result;
    }
};

/// Creates the request to forward for a call. A small body is copied and can be sent again; a streamed body
/// is moved out of the call and can be sent only once.
net::HttpRequest forwarded_request(Call& call);

/// One step of routing. Handles form a chain: each does its part and passes the call to the next handle.
class RouteHandle {
  public:
    virtual ~RouteHandle() = default;
    /// Blocks the calling fiber until the call has its result.
    virtual CallResult route(Call& call) = 0;
};

}  // namespace anisehold::daemon
