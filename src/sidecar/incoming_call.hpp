/// @file
/// A request of this machine's clients or server, from its arrival to its answer.
#pragma once

#include <cstdint>
#include <string>

#include "protocol/error_kind.hpp"
#include "protocol/request_digest.hpp"
#include "protocol/time_types.hpp"
#include "routing/configuration.hpp"
#include "tenancy/tenant_types.hpp"

namespace anisehold::sidecar {

/// What is known of the request once it was taken in. `CallIngress` fills it; the attempts read it.
struct IncomingCall {
    std::string request_id;
    RequestIdentity identity;
    std::string route;
    std::string row;      ///< The route and the request's priority: the unit that limits count by.
    std::string service;  ///< Chosen by the shares of the route.
    routing::HostRoute terms;
    tenancy::TenantName tenant;  ///< Empty for a request that belongs to none.
    bool hides_key = false;      ///< The server is sent the tenant's name instead of the key.
    bool is_root = false;        ///< Clients send requests of its route, not servers.
    bool holds_token = false;    ///< It counts against its tenant's quota.
    std::uint64_t configuration_version = 0;
    TimePoint received;
    TimePoint deadline;
    std::string attempts;  ///< Servers and outcomes of the attempts that ended, for the log.
};

/// Why a request has no answer of a server.
struct CallFailure {
    ErrorKind error = ErrorKind::kNoBackend;
    milliseconds retry_after{0};  ///< 0: nothing better is known than the default.
};

}  // namespace anisehold::sidecar
