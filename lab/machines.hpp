/// @file
/// A simulated machine list of the platform.
#pragma once

#include <nlohmann/json.hpp>

#include "net/http_server.hpp"

namespace anisehold::lab {

/// Serves the list last set by POST /lab/list; initially an empty one.
class Machines {
  public:
    explicit Machines(boost::asio::io_context& io);
    std::error_code start(const Endpoint& endpoint);

  private:
    net::HttpResponse handle(net::HttpRequest& request);

    net::HttpServer server_;
    nlohmann::json groups_ = nlohmann::json::array();
};

}  // namespace anisehold::lab
