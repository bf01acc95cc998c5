/// @file
/// A stand-in for the platform's machine list, which may lag.
#pragma once

#include <deque>
#include <nlohmann/json.hpp>

#include "net/http_server.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::lab {

/// Serves the list given to it by POST /lab/list, each version only after the set lag.
class Machines {
  public:
    explicit Machines(boost::asio::io_context& io);
    std::error_code start(const Endpoint& endpoint);
    /// Sets the list that is shown at once.
    void set_list(nlohmann::json groups);

  private:
    struct Version {
        TimePoint shown_from;
        nlohmann::json groups;
    };

    net::HttpResponse handle(net::HttpRequest& request);

    net::HttpServer server_;
    std::deque<Version> versions_;
    milliseconds lag_{0};
    bool outage_ = false;
};

}  // namespace anisehold::lab
