/// @file
/// One accepted connection of an `HttpServer`: a reader fiber reads requests, and each request is handled on
/// its own fiber. Owns the socket and the order of responses; the server defines the limits and the handlers.
/// Included only inside net/.
#pragma once

#include "net/beast_support.hpp"
// Beast comes first, see there.
#include <deque>
#include <memory>

#include "net/http_server.hpp"

namespace anisehold::net {

/// State shared by the connections of one server.
struct HttpServerShared {
    HttpServerLimits limits;
    HttpServerHandlers handlers;
    bool closing = false;       ///< Responses close their connection.
    std::size_t in_flight = 0;  ///< Number of requests being handled, over all connections.
};

class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
  public:
    HttpServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerShared> server)
        : server_(std::move(server)), stream_(std::move(socket)) {}

    /// Reads requests and starts their handling until the connection ends; blocks the fiber until then.
    void serve();

    /// Whether no request is being read or handled.
    bool is_idle() const { return open_exchanges_.empty() && waiting_for_request_; }
    TimePoint idle_since() const { return idle_since_; }
    /// Closes both directions of an idle connection.
    void close();
    /// Cancels all requests and resets the connection.
    void reset();

  private:
    using RequestParser = MessageParser<true>;

    struct PendingExchange;
    class RequestBodyReader;

    bool wait_for_request();
    bool read_request();
    boost::system::error_code receive(RequestParser& parser, HttpRequest& request);
    void stop_reading(const boost::system::error_code& error, bool anything_received);
    void start_answer(const std::shared_ptr<PendingExchange>& exchange);
    void answer(const std::shared_ptr<PendingExchange>& exchange);
    void finish(const std::shared_ptr<PendingExchange>& exchange);
    void discard_until_closed();
    void reject(ErrorKind kind);
    bool write_response(HttpResponse& response, unsigned version, bool keep_alive);
    void close_sending();
    bool has_ended();
    void cancel_all();
    static void wait_until_written(std::shared_ptr<PendingExchange> exchange);

    std::shared_ptr<HttpServerShared> server_;
    TimedStream stream_;
    beast::flat_buffer buffer_;
    std::deque<std::shared_ptr<PendingExchange>> open_exchanges_;
    std::shared_ptr<PendingExchange> last_;  ///< The latest exchange, until its response is written.
    TimePoint idle_since_ = TimePoint::clock::now();
    bool waiting_for_request_ = false;
    bool peer_disconnected_ = false;
    bool answers_closed_ = false;  ///< A response that closes the connection was written.
};

}  // namespace anisehold::net
