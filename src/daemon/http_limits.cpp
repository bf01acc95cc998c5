#include "daemon/http_limits.hpp"

#include <algorithm>

#include "net/descriptor_limit.hpp"

namespace anisehold::daemon {
namespace {

/// Maximum body size of a request to the admin port: an edited table and its base version, as CSV.
constexpr std::uint64_t kMaxAdminBodyBytes = 4 * 1024 * 1024;
/// The process's descriptors divided by this number may be connections of callers.
constexpr std::size_t kCallerDescriptorDivisor = 2;

}  // namespace

net::HttpServerLimits caller_limits(const config::Settings& settings) {
    net::HttpServerLimits limits;
    limits.header_bytes = static_cast<std::size_t>(settings.limits_header_bytes);
    limits.body_bytes = static_cast<std::uint64_t>(settings.limits_body_bytes);
    limits.header_timeout_ms = milliseconds(settings.limits_header_timeout_ms);
    limits.body_timeout_ms = milliseconds(settings.limits_body_timeout_ms);
    limits.connections = std::min(static_cast<std::size_t>(settings.limits_connections),
                                  net::descriptor_limit() / kCallerDescriptorDivisor);
    return limits;
}

net::HttpServerLimits admin_limits() {
    net::HttpServerLimits limits;
    limits.body_bytes = kMaxAdminBodyBytes;
    return limits;
}

net::HttpPoolLimits gate_pool_limits(const config::Settings& settings, bool reuse_unclean) {
    net::HttpPoolLimits limits;
    limits.connections = static_cast<std::size_t>(settings.backends_connections_per_server);
    limits.connect_timeout_ms = milliseconds(settings.backends_connect_timeout_ms);
    limits.body_timeout_ms = milliseconds(settings.limits_body_timeout_ms);
    limits.reuse_unclean = reuse_unclean;
    return limits;
}

}  // namespace anisehold::daemon
