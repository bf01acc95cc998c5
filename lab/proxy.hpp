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

/// Faults of the link. Set through the control endpoint by the names of the members.
struct LinkFaults {
    bool cut = false;                ///< Closes all open connections, and new ones at once.
    bool frozen = false;             ///< Forwards nothing in either direction until thawed.
    long long delay_ms = 0;          ///< Delay of each chunk.
    long long cut_after_bytes = -1;  ///< Closes each connection after this many bytes towards the client.
    bool repeat_refusals = false;    ///< Sends a second copy of each refusal when the next request comes.
};

/// Forwards connections from one address to another.
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
