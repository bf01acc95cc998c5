/// @file
/// A TCP proxy that injects faults into one link.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "net/http_server.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::lab {

/// What goes wrong on the link. Set through the control endpoint by the names of the members.
struct LinkFaults {
    bool cut = false;                ///< New connections are closed at once; open ones were closed.
    bool frozen = false;             ///< Nothing is passed on, either way, until thawed.
    long long delay_ms = 0;          ///< Each chunk is passed on this much later.
    long long cut_after_bytes = -1;  ///< Each connection is cut after this many bytes towards the client.
};

/// Passes connections on from one address to another.
class Proxy {
  public:
    Proxy(boost::asio::io_context& io, Endpoint target);
    ~Proxy();
    std::error_code start(const Endpoint& listen, const Endpoint& control);

  private:
    struct State;
    net::HttpResponse handle(net::HttpRequest& request);

    std::shared_ptr<State> state_;
    net::HttpServer control_;
};

}  // namespace anisehold::lab
