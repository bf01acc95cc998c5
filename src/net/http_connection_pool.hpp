/// @file
/// The connections of one `HttpClient` to its server: opens them, keeps idle ones, and gives up those that
/// are stale, silent, or were left inside an exchange. Owns the sockets; relies on the exchange to say what
/// became of one. Included only inside net/.
#pragma once

#include "net/beast_support.hpp"
// Beast comes first, see there.
#include <deque>
#include <memory>

#include "net/http_client.hpp"

namespace anisehold::net {

/// One connection and what was read from it beyond the last answer.
struct HttpConnection {
    explicit HttpConnection(boost::asio::io_context& io) : stream(io) {}

    TimedStream stream;
    beast::flat_buffer buffer;
    TimePoint idle_since;
    Duration max_idle = Duration::max();  ///< As the server announced it.
};

/// For one thread. Shared with the bodies that are still being read, which may outlast the client.
class HttpConnectionPool {
  public:
    HttpConnectionPool(boost::asio::io_context& io, Endpoint server, HttpPoolLimits limits)
        : io_(io), server_(std::move(server)), limits_(limits) {}

    /// The idle connection that was used last, or a new one; blocks the fiber while connecting. Says in
    /// `progress` which it is. Null and an error if none could be had: too many are open, or the server
    /// didn't accept one in time.
    std::unique_ptr<HttpConnection> acquire(const ExchangeOptions& options, ExchangeProgress& progress,
                                            std::error_code& error);
    /// Keeps a connection for a later exchange.
    void give_back(std::unique_ptr<HttpConnection> connection);
    /// Closes a connection that was acquired.
    void discard(std::unique_ptr<HttpConnection> connection);
    /// Closes all idle connections, when the client ends.
    void close_idle() { idle_.clear(); }

    /// Whether an idle connection is still open at the server's side, as far as that has been heard.
    bool has_live_idle_connection() const;
    /// Connections that are open now, in use or idle.
    std::size_t open_connections() const { return open_; }
    const Endpoint& server() const { return server_; }
    const HttpPoolLimits& limits() const { return limits_; }

  private:
    std::unique_ptr<HttpConnection> take_idle(TimePoint now, Duration max_idle);
    std::unique_ptr<HttpConnection> connect(TimePoint deadline, std::error_code& error);

    boost::asio::io_context& io_;
    Endpoint server_;
    HttpPoolLimits limits_;
    std::deque<std::unique_ptr<HttpConnection>> idle_;  ///< The one that was used last is at the back.
    std::size_t open_ = 0;
};

/// Holds a connection for one exchange; returns it to the pool only after a clean one. An exchange
/// that is given up resets its connection: a request that a broken link still holds back must not come to the
/// peer later, when nobody waits for its answer.
class HttpConnectionLease {
  public:
    HttpConnectionLease(std::shared_ptr<HttpConnectionPool> pool, std::unique_ptr<HttpConnection> connection)
        : pool_(std::move(pool)), connection_(std::move(connection)) {}
    ~HttpConnectionLease();
    HttpConnectionLease(HttpConnectionLease&&) noexcept = default;
    HttpConnectionLease& operator=(HttpConnectionLease&&) = delete;

    HttpConnection& operator*() { return *connection_; }
    HttpConnection* operator->() { return connection_.get(); }
    /// The answer has been read to its end; `reusable` if the server keeps the connection open.
    void finish(bool reusable);

  private:
    std::shared_ptr<HttpConnectionPool> pool_;
    std::unique_ptr<HttpConnection> connection_;
    bool whole_ = false;
};

}  // namespace anisehold::net
