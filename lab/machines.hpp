/// @file
/// A stand-in for the platform's machine list.
#pragma once

#include <nlohmann/json.hpp>

#include "net/http_server.hpp"

namespace anisehold::lab {

/// Serves the list that POST /lab/list gave it last; an empty one before.
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
