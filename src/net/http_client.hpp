/// @file
/// HTTP/1.1 exchanges with one server over a bounded pool of connections. Owns the pool
/// (`http_connection_pool`); chooses no server, retries nothing and logs nothing. Every call blocks its
/// fiber.
#pragma once

#include <memory>
#include <optional>

#include "net/http_types.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::net {

class HttpConnectionPool;

/// Bounds of a pool.
struct HttpPoolLimits {
    std::size_t connections = 256;           ///< Most that are open at once.
    milliseconds connect_timeout_ms{1'000};  ///< Longest time for connecting.
    milliseconds idle_timeout_ms{5'000};     ///< Connections idle for longer are closed, not reused.
    milliseconds body_timeout_ms{10'000};    ///< Longest pause inside a streamed answer.
    /// A peer that acknowledges nothing for that long is dead; 0 for never.
    milliseconds silence_timeout_ms{0};
    /// Whether that is noticed while nothing is sent, by a probe a second. For a few connections on which
    /// answers take long: each probe is a packet, and a fleet has many idle connections.
    bool probes_idle_connections = false;
    bool reuse_unclean = false;  ///< Lab only: pools connections whatever became of the exchange.
};

/// How far an exchange got; decides what may be said about whether the call ran.
struct ExchangeProgress {
    bool connected = false;
    bool request_started = false;  ///< At least one byte may have been sent.
    bool connection_reused = false;
    bool answer_started = false;  ///< The answer's header came.
    Duration idle_for{};          ///< How long the connection had been idle, if it was reused.
};

/// One exchange's bounds.
struct ExchangeOptions {
    TimePoint deadline;
    CancelSignal* cancel = nullptr;
    /// A header line that the answer must echo; an answer without it belongs to another request.
    std::optional<HeaderField> expected_echo = std::nullopt;
    /// Connections that were idle for longer aren't used for this exchange.
    Duration max_idle = Duration::max();
};

/// A pool of connections to one server. A connection goes back to the pool only after a whole, clean
/// exchange; any other is closed.
class HttpClient {
  public:
    HttpClient(boost::asio::io_context& io, Endpoint server, HttpPoolLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends `request` and reads the answer's header and up to `kBufferedBodyBytes` of its body. The rest
    /// of a larger body is read through the response, which keeps the connection for that long.
    /// Returns nothing and sets `error` when no whole header, or only part of a small body, came:
    /// `ErrorKind::kCancelled` if it was cancelled before it was sent, `kBackendFailed` for the answer to
    /// another request, `too_many_files_open` for a full pool, `timed_out` when the deadline came first, also
    /// before anything was sent, else what the system or Beast reported.
    std::optional<HttpResponse> exchange(HttpRequest& request, const ExchangeOptions& options,
                                         ExchangeProgress& progress, std::error_code& error);

    /// Like `exchange`, but returns as soon as the answer's header is there: for answers without an end.
    std::optional<HttpResponse> exchange_streaming(HttpRequest& request, TimePoint deadline,
                                                   ExchangeProgress& progress, std::error_code& error);

    const Endpoint& server() const;
    /// Whether an idle connection is still open at the server's side, as far as that has been heard.
    bool has_live_idle_connection() const;
    /// Connections that are open now, in use or idle.
    std::size_t open_connections() const;

  private:
    std::optional<HttpResponse> run_exchange(HttpRequest& request, const ExchangeOptions& options,
                                             std::size_t buffered_bytes, ExchangeProgress& progress,
                                             std::error_code& error);

    std::shared_ptr<HttpConnectionPool> pool_;
};

/// Largest body that `fetch_text` reads, in bytes.
inline constexpr std::size_t kMaxFetchedTextBytes = 8 * 1024 * 1024;

/// The body of a 200 answer as text; another status is the error `protocol_error`.
std::optional<std::string> fetch_text(HttpClient& client, HttpRequest& request, TimePoint deadline,
                                      std::error_code& error);

/// Reads the whole body, up to `limit` bytes; `message_size` for a longer one. Nothing if `error` is set.
std::optional<std::string> read_whole(Body& body, std::size_t limit, std::error_code& error);

}  // namespace anisehold::net
