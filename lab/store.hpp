/// @file
/// A simulated key-value store of the platform: the part of the etcd v3 JSON gateway that the daemon uses,
/// with injected faults.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/http_server.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::lab {

/// Faults of the store. Set through the control endpoint by the names of the members.
struct StoreFaults {
    bool outage = false;        ///< Every request gets 503.
    bool lose_answers = false;  ///< Writes take effect, but the connection is closed before the response.
    long long stale_by = 0;     ///< Age, in revisions, of the data in range responses.
};

/// Serves one store in memory.
class Store {
  public:
    explicit Store(boost::asio::io_context& io);
    std::error_code start(const Endpoint& endpoint);

  private:
    struct Version {
        std::uint64_t revision = 0;
        std::string value;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        std::string value;
    };
    class WatchReader;

    net::HttpResponse handle(net::HttpRequest& request);
    net::HttpResponse serve(const std::string& target, const nlohmann::json& body);
    net::HttpResponse range(const nlohmann::json& body) const;
    net::HttpResponse transact(const nlohmann::json& body);
    net::HttpResponse put(const nlohmann::json& body);
    net::HttpResponse watch(const nlohmann::json& body);
    void write(const std::string& key, const std::string& value);
    std::uint64_t mod_revision(const std::string& key) const;
    nlohmann::json header() const;
    net::HttpResponse after_write(net::HttpResponse answer) const;

    net::HttpServer server_;
    StoreFaults faults_;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::vector<Version>> keys_;
    std::vector<Event> events_;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
};

}  // namespace anisehold::lab
