/// @file
/// The connections of one `HttpClient` to its server: opens connections, keeps idle ones, and closes those
/// that are stale, unresponsive, or abandoned during an exchange. Owns the sockets; the exchange reports the
/// state of each connection. Included only inside net/.
#pragma once

#include "net/beast_support.hpp"
// Beast comes first, see there.
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

#include "net/http_client.hpp"

namespace anisehold::net {

/// Maximum size of a response header.
inline constexpr std::uint32_t kMaxResponseHeaderBytes = 8 * 1024;

/// One connection, the bytes read after the last response, and the identified requests that were sent over
/// it.
struct HttpConnection {
    HttpConnection(boost::asio::io_context& io, std::uint64_t number_to_use)
        : number(number_to_use), stream(io) {
        limit_buffer(buffer, kMaxResponseHeaderBytes);
    }

    /// Records that a request with this identifier is about to be sent.
    void record_sent(std::string_view id);
    bool has_sent(std::string_view id) const;

    const std::uint64_t number;  ///< Unique in the pool.
    TimedStream stream;
    beast::flat_buffer buffer;
    TimePoint idle_since;
    Duration max_idle = Duration::max();  ///< As announced by the server.
    bool is_exclusive = false;            ///< Used for one exchange only.
    std::vector<std::size_t> sent_ids;    ///< Hashes of the identifiers of the requests sent.
};

/// Not thread-safe. Shared with the bodies that are still being read, which may outlive the client.
class HttpConnectionPool {
  public:
    HttpConnectionPool(boost::asio::io_context& io, Endpoint server, HttpPoolLimits limits)
        : io_(io), server_(std::move(server)), limits_(limits) {}

    /// Returns the most recently used idle connection, or a new one; blocks the fiber while connecting.
    /// `progress` shows which of the two it is. No connection is returned twice for the same expected echo:
    /// a surplus response to the first request would be taken for the response to the second. Returns null
    /// and an error if too many connections are open, or if the server didn't accept one in time.
    std::unique_ptr<HttpConnection> acquire(const ExchangeOptions& options, ExchangeProgress& progress,
                                            std::error_code& error);
    /// Returns a connection to the pool for a later exchange.
    void release(std::unique_ptr<HttpConnection> connection);
    /// Closes an acquired connection.
    void discard(std::unique_ptr<HttpConnection> connection);
    /// Closes all idle connections when the client ends.
    void close_idle() { idle_.clear(); }

    /// Whether an idle connection is still open at the server's side, as far as is known.
    bool has_live_idle_connection() const;
    /// Number of open connections, in use or idle.
    std::size_t open_connections() const { return open_; }
    const Endpoint& server() const { return server_; }
    const HttpPoolLimits& limits() const { return limits_; }

  private:
    /// Like `acquire`, but doesn't record the request as sent.
    std::unique_ptr<HttpConnection> acquire_unrecorded(const ExchangeOptions& options,
                                                       ExchangeProgress& progress, std::error_code& error);
    std::unique_ptr<HttpConnection> take_idle(TimePoint now, const ExchangeOptions& options);
    std::unique_ptr<HttpConnection> connect(TimePoint deadline, std::error_code& error);
    void discard_oldest_idle();

    boost::asio::io_context& io_;
    Endpoint server_;
    HttpPoolLimits limits_;
    std::deque<std::unique_ptr<HttpConnection>> idle_;  ///< The most recently used connection is at the back.
    std::size_t open_ = 0;
    std::uint64_t opened_ = 0;  ///< Connections opened so far.
};

/// Holds a connection for one exchange, and returns it to the pool only after a clean one. An aborted
/// exchange resets its connection: a request that is still delayed by a broken link must not reach the peer
/// later, when no caller waits for the response.
class HttpConnectionLease {
  public:
    HttpConnectionLease(std::shared_ptr<HttpConnectionPool> pool, std::unique_ptr<HttpConnection> connection)
        : pool_(std::move(pool)), connection_(std::move(connection)) {}
    ~HttpConnectionLease();
    HttpConnectionLease(HttpConnectionLease&&) noexcept = default;
    HttpConnectionLease& operator=(HttpConnectionLease&&) = delete;

    HttpConnection& operator*() { return *connection_; }
    HttpConnection* operator->() { return connection_.get(); }
    /// Called when the whole response has been read; `reusable` if the server keeps the connection open.
    void finish(bool reusable);

  private:
    std::shared_ptr<HttpConnectionPool> pool_;
    std::unique_ptr<HttpConnection> connection_;
    bool whole_ = false;
};

}  // namespace anisehold::net
