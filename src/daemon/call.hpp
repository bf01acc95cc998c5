/// @file
/// One call on its way through the table daemon, and what became of it. A call is a root request or a nested
/// call; the handles in daemon/handles each do their part for it and pass it on.
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

/// A call being routed. The request and the signal belong to the connection that the call came over.
struct Call {
    net::HttpRequest* request = nullptr;
    net::CancelSignal* cancel = nullptr;
    std::string service;
    routing::RouteDecision route;
    CallContext context;                ///< Of this call; its allowance is what is left now.
    std::optional<CallContext> parent;  ///< Of the call that made this one; nothing for a root request.
    std::uint64_t identity = 0;         ///< Digest of service, method, target, key and body.
    TimePoint received;
    TimePoint root_started;
    TimePoint deadline;

    bool is_root() const { return !parent.has_value(); }
};

/// What became of a call: a server's answer, or one of our error kinds.
struct CallResult {
    std::optional<net::HttpResponse> response;
    ErrorKind error = ErrorKind::kBackendFailed;   ///< When there is no response.
    Execution execution = Execution::kMayHaveRun;  ///< When there is no response.
    Duration retry_after{};
    unsigned retries_used = 0;       ///< By the call and all below it.
    std::string overloaded_service;  ///< That refused the call or one below it; empty if none did.
    bool nested_ran = false;         ///< A call nested in this one may have run.
    bool server_leaving = false;

    bool refused_by_overload() const { return !overloaded_service.empty(); }

    /// A result without a server's answer; what is known of its execution follows from the kind.
    static CallResult failure(ErrorKind kind, Duration retry_after = {}) {
        CallResult result;
        result.error = kind;
        result.execution = answer_for(kind).execution;
        result.retry_after = retry_after;
        return result;
    }
    /// Like `failure`, for a call that `service` refused for overload.
    static CallResult refusal(ErrorKind kind, const std::string& service, Duration retry_after) {
        auto result = failure(kind, retry_after);
        result.overloaded_service = service;
        return result;
    }
};

/// The request to send on for a call. A small body is copied, so that it can be sent again; a streamed one is
/// taken out of the call, and can be sent once.
net::HttpRequest forwarded_request(Call& call);

/// One step of routing. Handles compose: each does its part and passes the call to the next.
class RouteHandle {
  public:
    virtual ~RouteHandle() = default;
    /// Blocks the calling fiber until the call has its result.
    virtual CallResult route(Call& call) = 0;
};

}  // namespace anisehold::daemon
