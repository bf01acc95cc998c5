/// @file
/// An HTTP/1.1 server: bounded headers and bodies, bounded sender time. A connection is read ahead while its
/// requests are being answered, so that pipelined requests start at once and a caller that leaves is noticed;
/// answers are written in the order of the requests. Owns the listening socket and the set of connections
/// (`http_server_connection`); relies on its handlers for every answer.
#pragma once

#include <functional>
#include <memory>

#include "net/http_types.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/error_kind.hpp"
#include "protocol/time_types.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::net {

/// What a server accepts from a sender. The defaults are chosen, not measured.
struct HttpServerLimits {
    std::size_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64ULL * 1024 * 1024;
    milliseconds header_timeout_ms{15'000};  ///< Longest time for a header, from its first byte.
    milliseconds idle_timeout_ms{15'000};    ///< Longest idle time of a kept connection.
    milliseconds body_timeout_ms{10'000};    ///< Longest pause inside a body, either way.
    std::size_t connections = 4096;          ///< Most that are open; one beyond that is closed at once.
};

/// What the server does with requests.
struct HttpServerHandlers {
    /// Answers one request, on a fiber of its own. The signal fires when the caller closes its connection.
    std::function<HttpResponse(HttpRequest&, CancelSignal&)> handle;
    /// Answers a request that could not be read.
    std::function<HttpResponse(ErrorKind)> reject;
};

/// Listens on one endpoint until stopped.
class HttpServer {
  public:
    HttpServer(boost::asio::io_context& io, HttpServerLimits limits, HttpServerHandlers handlers);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and starts accepting; on an error, the system's, nothing is listening.
    std::error_code start(const Endpoint& endpoint);
    /// The bound port, which differs from the requested one when that was 0.
    std::uint16_t port() const;
    /// Replaces the bounds; connections follow with their next request.
    void set_limits(const HttpServerLimits& limits);
    /// From now on answers carry `Connection: close`; connections and requests are still accepted.
    void begin_closing();
    /// Accepts no new connection.
    void stop_accepting();
    /// Closes the connections that have no request in progress.
    void close_idle();
    /// Ends all connections with a reset, whatever goes on there, as the end of the process would. For the
    /// tests' stand-ins of servers that crash; the daemons don't call it.
    void reset_connections();
    /// Requests being answered now.
    std::size_t requests_in_flight() const;

  private:
    struct Connection;
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace anisehold::net
