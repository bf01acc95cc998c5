/// @file
/// Calls services for the lab's clients and back ends: through the daemons, or directly at the servers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "net/http_client.hpp"

namespace anisehold::lab {

/// Targets of calls.
struct CallTargets {
    std::vector<Endpoint> daemons;  ///< Daemons, nearest first; empty for direct calls.
    std::map<std::string, std::vector<Endpoint>> services;  ///< Servers by service, for direct calls.
    std::size_t connections = 1024;                         ///< Maximum connections per target.
};

/// Parses "service=IP:PORT,IP:PORT" entries into `targets.services`; returns false if one is malformed.
bool parse_service_targets(const std::vector<std::string>& entries, CallTargets& targets);

/// Calls services by name.
class ServiceCaller {
  public:
    ServiceCaller(boost::asio::io_context& io, CallTargets targets, std::uint64_t random_seed);

    bool direct() const { return targets_.daemons.empty(); }
    /// Makes one attempt. Skips daemons that refuse connections; avoids a daemon that announced its stop for
    /// a while.
    std::optional<net::HttpResponse> call(const std::string& service, net::HttpRequest& request,
                                          const net::ExchangeOptions& options,
                                          net::ExchangeProgress& progress, std::error_code& error);

  private:
    net::HttpClient& client_for(const Endpoint& server);
    std::optional<net::HttpResponse> call_daemon(net::HttpRequest& request,
                                                 const net::ExchangeOptions& options,
                                                 net::ExchangeProgress& progress, std::error_code& error);

    boost::asio::io_context& io_;
    CallTargets targets_;
    std::mt19937_64 random_;
    std::map<Endpoint, std::unique_ptr<net::HttpClient>> clients_;
    std::map<Endpoint, TimePoint> avoid_until_;
};

}  // namespace anisehold::lab
