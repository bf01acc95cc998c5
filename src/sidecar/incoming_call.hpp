/// @file
/// A request of this machine's clients or server, from its arrival to its response.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "attribution/call_matcher.hpp"
#include "protocol/error_kind.hpp"
#include "protocol/request_digest.hpp"
#include "protocol/time_types.hpp"
#include "returning/standing.hpp"
#include "routing/configuration.hpp"
#include "tenancy/tenant_types.hpp"

namespace anisehold::sidecar {

/// Properties of an accepted request. Filled by `CallIngress`, read by the attempts.
struct IncomingCall {
    std::string request_id;
    RequestIdentity identity;
    std::string route;
    std::string row;      ///< Route and priority of the request: the unit by which limits count.
    std::string service;  ///< Chosen by the weights of the route.
    routing::HostRoute terms;
    tenancy::TenantName tenant;  ///< Empty if the request belongs to no tenant.
    /// The key is replaced by the tenant's name before the request is sent to the server.
    bool hides_key = false;
    bool is_root = false;      ///< Whether the route is called by clients, not by servers.
    bool holds_token = false;  ///< Whether the request took a token from its tenant's quota.
    std::uint64_t configuration_version = 0;
    TimePoint received;
    TimePoint deadline;
    std::optional<milliseconds> stated_time_left{};  ///< Time for which the caller said that it will wait.
    returning::Standing standing = returning::Standing::fresh;
    attribution::CallOrigin origin;  ///< Empty unless calls are attributed.
    std::string attempts;            ///< Servers and outcomes of the ended attempts, for the log.
};

/// Why a request has no response from a server.
struct CallFailure {
    ErrorKind error = ErrorKind::kNoBackend;
    milliseconds retry_after{0};  ///< 0 means the default.
};

}  // namespace anisehold::sidecar
