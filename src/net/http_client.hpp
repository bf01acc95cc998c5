/// @file
/// HTTP/1.1 exchanges with one server over a bounded pool of connections. Owns the pool
/// (`http_connection_pool`); doesn't choose servers, retry or log. Every call blocks its fiber.
#pragma once

#include <cstdint>
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

/// Limits of a connection pool.
struct HttpPoolLimits {
    std::size_t connections = 256;           ///< Maximum open connections.
    milliseconds connect_timeout_ms{1'000};  ///< Timeout of connecting.
    milliseconds idle_timeout_ms{5'000};     ///< Connections idle for longer are closed, not reused.
    milliseconds body_timeout_ms{10'000};    ///< Maximum pause inside a streamed response.
    /// A peer that acknowledges nothing for this time counts as dead; 0 disables the check.
    milliseconds silence_timeout_ms{0};
    /// Whether a dead peer is also detected while nothing is sent, by one keepalive probe a second. Intended
    /// for a few connections with slow responses: each probe is a packet, and a fleet has many idle
    /// connections.
    bool probes_idle_connections = false;
    /// Lab only: returns connections to the pool whatever the outcome of the exchange.
    bool reuse_unclean = false;
};

/// A response that arrived where that to another request was due: it echoes another identifier, or none.
struct SurplusResponse {
    HttpResponse head;                 ///< Without its body.
    bool is_to_known_request = false;  ///< Its request was sent over the same connection before.
};

/// Progress of an exchange; determines what is known about whether the call ran.
struct ExchangeProgress {
    bool connected = false;
    bool request_started = false;  ///< At least one byte may have been sent.
    bool request_cut = false;      ///< The request's body ended early at its source, not at the server.
    bool connection_reused = false;
    bool answer_started = false;   ///< A header of the response, interim or final, has arrived.
    Duration idle_for{};           ///< Idle time of the connection before this exchange, if it was reused.
    std::uint64_t connection = 0;  ///< Number of the connection among those of its client, from 1.
    std::optional<SurplusResponse> surplus{};  ///< The response that ended the exchange, if it was another's.
};

/// Options of one exchange.
struct ExchangeOptions {
    TimePoint deadline;
    CancelSignal* cancel = nullptr;
    /// Header field that the response must echo; a response without it belongs to another request. A request
    /// with the same field is never sent over the same connection again.
    std::optional<HeaderField> expected_echo = std::nullopt;
    /// Connections that have been idle for longer aren't used for this exchange.
    Duration max_idle = Duration::max();
    /// The exchange gets a new connection, which is closed after it, so that no response to another request
    /// can be taken for its response.
    bool exclusive_connection = false;
};

/// Limits of reading a response body.
struct BodyLimits {
    std::size_t buffered_bytes;  ///< Bytes that are read before the exchange returns.
    Duration max_pause;          ///< Maximum wait for further bytes of the remainder.
    TimePoint deadline;          ///< End of reading the remainder, even if it never pauses.
};

/// A client with a pool of connections to one server. A connection returns to the pool only after a complete,
/// clean exchange; any other is closed.
class HttpClient {
  public:
    HttpClient(boost::asio::io_context& io, Endpoint server, HttpPoolLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends `request`, and reads the response header and up to `kBufferedBodyBytes` of the body. The
    /// remainder of a larger body is read through the response, which holds the connection until then; the
    /// deadline applies to it as well.
    /// Returns nothing and sets `error` if no complete header arrived, or only part of a small body:
    /// `ErrorKind::kCancelled` if the exchange was canceled before the request was sent, `kBackendFailed` for
    /// the response to another request, `too_many_files_open` for a full pool, `timed_out` if the deadline
    /// was reached, even before anything was sent, and otherwise the error of the system or of Beast.
    std::optional<HttpResponse> exchange(HttpRequest& request, const ExchangeOptions& options,
                                         ExchangeProgress& progress, std::error_code& error);

    /// Like `exchange`, but returns as soon as the response header has arrived, and sets no deadline for the
    /// body; for endless responses.
    std::optional<HttpResponse> exchange_streaming(HttpRequest& request, TimePoint deadline,
                                                   ExchangeProgress& progress, std::error_code& error);

    const Endpoint& server() const;
    /// Whether an idle connection is still open at the server's side, as far as is known.
    bool has_live_idle_connection() const;
    /// Number of open connections, in use or idle.
    std::size_t open_connections() const;

  private:
    std::optional<HttpResponse> run_exchange(HttpRequest& request, const ExchangeOptions& options,
                                             const BodyLimits& limits, ExchangeProgress& progress,
                                             std::error_code& error);

    std::shared_ptr<HttpConnectionPool> pool_;
};

/// Maximum body size that `fetch_text` reads.
inline constexpr std::size_t kMaxFetchedTextBytes = 8 * 1024 * 1024;

/// Returns the body of a 200 response as text; any other status is the error `protocol_error`.
std::optional<std::string> fetch_text(HttpClient& client, HttpRequest& request, TimePoint deadline,
                                      std::error_code& error);

/// Reads the whole body, up to `limit` bytes; the error is `message_size` for a longer body. Returns nothing
/// if `error` is set.
std::optional<std::string> read_whole(Body& body, std::size_t limit, std::error_code& error);

}  // namespace anisehold::net
