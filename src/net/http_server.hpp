/// @file
/// An HTTP/1.1 server with limits on header size, body size and sending time, and on what all its connections
/// hold together (connection/connection_budget). A connection is read ahead
/// while its requests are being handled, so that pipelined requests start at once and a disconnecting caller
/// is detected; responses are written in the order of the requests. Owns the listening socket and the set of
/// connections (`http_server_connection`); its handlers create all responses.
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

/// Limits on what the server accepts from a sender.
struct HttpServerLimits {
    std::size_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64ULL * 1024 * 1024;
    milliseconds header_timeout_ms{15'000};  ///< Timeout of a header, from its first byte.
    milliseconds idle_timeout_ms{15'000};    ///< Maximum idle time of a kept connection.
    milliseconds body_timeout_ms{10'000};    ///< Maximum pause inside a body, in either direction.
    /// Maximum open connections. For a further one the connection is closed that has waited longest for a
    /// whole request; if all have requests in progress, the further one is closed at once.
    std::size_t connections = 4096;
    /// Maximum memory for the requests and responses of all connections together, as estimated. Connections
    /// without a request in progress are closed to stay below it; then requests are rejected.
    std::size_t held_bytes = 64UL * 1024 * 1024;
    /// Buffer for the bytes of a connection that have arrived and aren't read yet, as requested from the
    /// system; 0 leaves its size to the system, which lets it grow to megabytes. Applies from the start.
    int receive_buffer_bytes = 32 * 1024;
};

/// Callbacks that handle requests.
struct HttpServerHandlers {
    /// Handles one request, on a fiber of its own. The signal fires when the caller closes its connection.
    std::function<HttpResponse(HttpRequest&, CancelSignal&)> handle;
    /// Creates the response to a request that could not be parsed.
    std::function<HttpResponse(ErrorKind)> reject;
    /// Called for each connection that is closed to make room for another; may be empty.
    std::function<void()> on_connection_given_up{};
};

/// Listens on one endpoint until stopped.
class HttpServer {
  public:
    HttpServer(boost::asio::io_context& io, HttpServerLimits limits, HttpServerHandlers handlers);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and starts accepting. On failure, returns the system's error and doesn't listen.
    std::error_code start(const Endpoint& endpoint);
    /// Returns the bound port, which differs from the requested one if that was 0.
    std::uint16_t port() const;
    /// Replaces the limits; each connection applies them from its next request on.
    void set_limits(const HttpServerLimits& limits);
    /// Makes all further responses carry `Connection: close`; connections and requests are still accepted.
    void begin_closing();
    /// Stops accepting connections.
    void stop_accepting();
    /// Closes the connections without a request in progress.
    void close_idle();
    /// Resets all connections, whatever their state, as the exit of the process would. Used by tests to
    /// simulate crashing servers; the daemons don't call this function.
    void reset_connections();
    /// Number of requests being received or handled.
    std::size_t requests_in_flight() const;

  private:
    struct Connection;
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace anisehold::net
