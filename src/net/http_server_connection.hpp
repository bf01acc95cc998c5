/// @file
/// One accepted connection of an `HttpServer`: a reader fiber reads requests, and each request is handled on
/// its own fiber. Owns the socket and the order of responses; the server defines the limits and the handlers.
/// Included only inside net/.
#pragma once

#include "net/beast_support.hpp"
// Beast comes first, see there.
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "connection/connection_budget.hpp"
#include "net/http_server.hpp"

namespace anisehold::net {

class HttpServerConnection;

/// State shared by the connections of one server.
struct HttpServerShared {
    connection::BudgetLimits budget_limits() const { return {limits.connections, limits.held_bytes}; }
    /// Ends connections that the budget has closed.
    void give_up(const std::vector<connection::ConnectionId>& ids);

    HttpServerLimits limits;
    HttpServerHandlers handlers;
    connection::ConnectionBudget budget;
    std::unordered_map<connection::ConnectionId, std::shared_ptr<HttpServerConnection>> connections;
    bool closing = false;       ///< Responses close their connection.
    std::size_t receiving = 0;  ///< Number of requests being received, over all connections.
    std::size_t in_flight = 0;  ///< Number of requests being handled, over all connections.
};

class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
  public:
    /// Estimated memory of a connection without a request: its fiber's stack and its socket.
    static constexpr std::size_t kConnectionBytes = 12 * 1024;

    HttpServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerShared> server,
                         connection::ConnectionId id)
        : server_(std::move(server)), id_(id), stream_(std::move(socket)) {}

    /// Reads requests and starts their handling until the connection ends; blocks the fiber until then.
    void serve();

    /// Whether no request is being read or handled.
    bool is_idle() const { return open_exchanges_.empty() && waiting_for_request_; }
    TimePoint idle_since() const { return idle_since_; }
    /// Closes both directions of an idle connection.
    void close();
    /// Cancels all requests and resets the connection.
    void reset();
    /// Ends a connection without a request in progress, whatever its peer still sends.
    void give_up() { stream_.abort(); }

  private:
    using RequestParser = MessageParser<true>;

    struct PendingExchange;
    class RequestBodyReader;

    bool wait_for_request();
    bool read_request();
    boost::system::error_code receive(RequestParser& parser, HttpRequest& request);
    void stop_reading(const boost::system::error_code& error, bool anything_received);
    bool has_room_to_receive(std::size_t bytes);
    bool admit(PendingExchange& exchange);
    void record_held(PendingExchange& exchange, std::size_t bytes);
    std::size_t held_bytes() const { return kConnectionBytes + receiving_bytes_ + exchange_bytes_; }
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
    const connection::ConnectionId id_;
    TimedStream stream_;
    beast::flat_buffer buffer_;
    std::deque<std::shared_ptr<PendingExchange>> open_exchanges_;
    std::shared_ptr<PendingExchange> last_;  ///< The latest exchange, until its response is written.
    std::size_t receiving_bytes_ = 0;        ///< Estimated memory of the request that is being received.
    std::size_t exchange_bytes_ = 0;         ///< Estimated memory of the open exchanges.
    TimePoint idle_since_ = TimePoint::clock::now();
    bool waiting_for_request_ = false;
    bool peer_disconnected_ = false;
    bool answers_closed_ = false;  ///< A response that closes the connection was written.
};

}  // namespace anisehold::net
