#include "net/http_connection_pool.hpp"
// Beast comes first, see there.
#include <charconv>
#include <limits>

#include "net/http_client.hpp"
#include "net/message_writer.hpp"
#include "net/response_kind.hpp"
#include "protocol/error_kind.hpp"

namespace anisehold::net {
namespace {

using ResponseParser = MessageParser<false>;

/// Fraction of the announced idle time after which a connection isn't reused: the server counts from an
/// earlier moment, and the next request takes time to arrive.
constexpr double kKeepAliveShare = 0.7;
/// Maximum interim responses before a final one; a server may send them without end.
constexpr int kMaxInterimResponses = 16;

/// Parses the server's idle timeout from `Keep-Alive: timeout=SECONDS`; returns the maximum if there is none.
Duration announced_idle_time(std::string_view keep_alive) {
    constexpr std::string_view name = "timeout=";
    const auto at = keep_alive.find(name);
    if (at == std::string_view::npos) {
        return Duration::max();
    }
    const auto text = keep_alive.substr(at + name.size());
    unsigned timeout_s = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), timeout_s).ec != std::errc{}) {
        return Duration::max();
    }
    return std::chrono::duration_cast<Duration>(seconds(timeout_s) * kKeepAliveShare);
}

/// Translates Beast's timeout error, which equals no `std::errc`; otherwise callers would take a timed-out
/// request for a broken connection.
std::error_code translate_timeout(const std::error_code& failure) {
    static const std::error_code beast_timeout = boost::system::error_code(beast::error::timeout);
    return failure == beast_timeout ? std::make_error_code(std::errc::timed_out) : failure;
}

/// Reads the unbuffered remainder of a response body, and then returns the connection to the pool.
class ResponseBodyReader final : public BodyReader {
  public:
    ResponseBodyReader(HttpConnectionLease lease, std::unique_ptr<ResponseParser> parser, Duration pause,
                       TimePoint deadline)
        : lease_(std::move(lease)), parser_(std::move(parser)), pause_(pause), deadline_(deadline) {}

    std::size_t read(char* data, std::size_t size, std::error_code& error) override {
        if (parser_->is_done()) {
            return 0;
        }
        lease_->stream.reads_expire_at(std::min(deadline_, TimePoint::clock::now() + pause_));
        boost::system::error_code read_error;
        const auto count = read_body_bytes(lease_->stream, lease_->buffer, *parser_, data, size, read_error);
        error = translate_timeout(read_error);
        if (!read_error && parser_->is_done()) {
            lease_.finish(parser_->keep_alive());
        }
        return count;
    }

  private:
    HttpConnectionLease lease_;
    std::unique_ptr<ResponseParser> parser_;
    Duration pause_;
    TimePoint deadline_;
};

/// Start line and fields of a request.
std::string request_head(const HttpRequest& request, const Endpoint& server) {
    auto head = request.method + " " + request.target + " HTTP/1.1\r\n" + request.fields.lines();
    if (!request.fields.find("Host")) {
        head += "Host: " + server.text() + "\r\n";
    }
    return head;
}

std::error_code send_request(HttpConnection& connection, HttpRequest& request, const Endpoint& server,
                             TimePoint deadline, ExchangeProgress& progress) {
    boost::system::error_code io_error;
    std::error_code source_error;
    write_message(connection.stream, request_head(request, server), request.body,
                  {.max_pause = Duration::max(), .end = deadline}, io_error, source_error);
    progress.request_cut = static_cast<bool>(source_error);
    return source_error ? source_error : std::error_code(io_error);
}

std::unique_ptr<ResponseParser> parser_for(const HttpRequest& request) {
    auto parser = std::make_unique<ResponseParser>();
    parser->header_limit(kMaxResponseHeaderBytes);
    // Beast 1.74 treats "no limit" as a limit of zero if the length is declared.
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (request.method == "HEAD") {
        parser->skip(true);
    }
    return parser;
}

/// Reads headers up to that of the final response, whose parser it returns. Interim responses are skipped.
/// Returns null and sets `error` for a response with an invalid status, as for a header that can't be parsed.
std::unique_ptr<ResponseParser> receive_final_header(HttpConnection& connection, const HttpRequest& request,
                                                     ExchangeProgress& progress,
                                                     boost::system::error_code& error) {
    for (int skipped = 0; skipped <= kMaxInterimResponses; ++skipped) {
        auto parser = parser_for(request);
        error = read_header(connection.stream, connection.buffer, *parser);
        progress.answer_started = progress.answer_started || !error;
        if (error) {
            return nullptr;
        }
        switch (classify_status(parser->status())) {
            case ResponseKind::kFinal:
                return parser;
            case ResponseKind::kInterim:
                break;
            case ResponseKind::kInvalid:
                error = http::error::bad_status;
                return nullptr;
        }
    }
    error = http::error::header_limit;
    return nullptr;
}

/// Fills `response` from the final header. A response without the expected echo belongs to another request.
std::error_code accept_header(HttpConnection& connection, const ResponseParser& parser,
                              const ExchangeOptions& options, ExchangeProgress& progress,
                              HttpResponse& response) {
    response.status = parser.status();
    response.fields = copy_end_to_end_fields(parser.fields());
    response.connection_close = !parser.keep_alive();
    connection.max_idle = announced_idle_time(parser.fields().find("Keep-Alive").value_or(""));
    const auto& expected = options.expected_echo;
    if (expected && response.fields.find(expected->name) != expected->value) {
        const auto echo = response.fields.find(expected->name);
        const bool is_known = echo && connection.has_sent(*echo);
        progress.surplus = SurplusResponse{std::move(response), is_known};
        return make_error_code(ErrorKind::kBackendFailed);
    }
    return {};
}

/// Reads the beginning of the body. A longer body keeps the connection until all of it has been read.
std::error_code receive_body(HttpConnectionLease& lease, std::unique_ptr<ResponseParser> parser,
                             const BodyLimits& limits, Body& body) {
    boost::system::error_code error;
    read_body_prefix(lease->stream, lease->buffer, *parser, body.prefix, limits.buffered_bytes, error);
    if (error) {
        return error;
    }
    if (parser->is_done()) {
        body.length = body.prefix.size();
        lease.finish(parser->keep_alive());
        return {};
    }
    if (parser->content_length()) {
        body.length = *parser->content_length();
    }
    body.rest = std::make_unique<ResponseBodyReader>(std::move(lease), std::move(parser), limits.max_pause,
                                                     limits.deadline);
    return {};
}

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& io, Endpoint server, HttpPoolLimits limits)
    : pool_(std::make_shared<HttpConnectionPool>(io, std::move(server), limits)) {}

HttpClient::~HttpClient() {
    pool_->close_idle();
}

std::optional<HttpResponse> HttpClient::exchange(HttpRequest& request, const ExchangeOptions& options,
                                                 ExchangeProgress& progress, std::error_code& error) {
    const BodyLimits limits{kBufferedBodyBytes, pool_->limits().body_timeout_ms, options.deadline};
    return run_exchange(request, options, limits, progress, error);
}

std::optional<HttpResponse> HttpClient::exchange_streaming(HttpRequest& request, TimePoint deadline,
                                                           ExchangeProgress& progress,
                                                           std::error_code& error) {
    const BodyLimits limits{0, pool_->limits().body_timeout_ms, TimePoint::max()};
    return run_exchange(request, {deadline, nullptr}, limits, progress, error);
}

std::optional<HttpResponse> HttpClient::run_exchange(HttpRequest& request, const ExchangeOptions& options,
                                                     const BodyLimits& limits, ExchangeProgress& progress,
                                                     std::error_code& error) {
    auto connection = pool_->acquire(options, progress, error);
    if (!connection) {
        return std::nullopt;
    }
    progress.connected = true;
    HttpConnectionLease lease(pool_, std::move(connection));
    if (options.cancel != nullptr && options.cancel->cancelled()) {
        error = make_error_code(ErrorKind::kCancelled);
        return std::nullopt;
    }
    if (TimePoint::clock::now() >= options.deadline) {
        // No caller would wait for the response, and a request sent now might still run. This occurs when a
        // process was suspended: on resumption, the deadlines of its waiting calls have passed.
        lease.finish(true);
        error = std::make_error_code(std::errc::timed_out);
        return std::nullopt;
    }
    CancelSubscription subscription(options.cancel, [&stream = lease->stream] { stream.abort(); });
    lease->stream.reads_expire_at(options.deadline);

    if (request.body.rest) {
        // A sender that falls silent, or sends a byte now and then, would hold the server's slot.
        request.body.rest->expire_at(options.deadline);
    }
    progress.request_started = true;
    auto failure = send_request(*lease, request, pool_->server(), options.deadline, progress);
    HttpResponse response;
    std::unique_ptr<ResponseParser> parser;
    if (!failure) {
        boost::system::error_code header_error;
        parser = receive_final_header(*lease, request, progress, header_error);
        failure = parser ? accept_header(*lease, *parser, options, progress, response)
                         : std::error_code(header_error);
    }
    if (!failure) {
        failure = receive_body(lease, std::move(parser), limits, response.body);
    }
    if (failure) {
        error = translate_timeout(failure);
        return std::nullopt;
    }
    return response;
}

std::optional<std::string> read_whole(Body& body, std::size_t limit, std::error_code& error) {
    std::string text = std::move(body.prefix);
    std::array<char, kStreamChunkBytes> chunk;
    bool more = !body.whole();
    while (more) {
        const auto count = body.rest->read(chunk.data(), chunk.size(), error);
        text.append(chunk.data(), count);
        more = count > 0 && !error;
        if (text.size() > limit) {
            error = std::make_error_code(std::errc::message_size);
            more = false;
        }
    }
    return error ? std::nullopt : std::optional(std::move(text));
}

std::optional<std::string> fetch_text(HttpClient& client, HttpRequest& request, TimePoint deadline,
                                      std::error_code& error) {
    ExchangeProgress progress;
    auto response = client.exchange(request, {deadline, nullptr}, progress, error);
    if (!response) {
        return std::nullopt;
    }
    constexpr unsigned ok = 200;
    if (response->status != ok) {
        error = std::make_error_code(std::errc::protocol_error);
        return std::nullopt;
    }
    return read_whole(response->body, kMaxFetchedTextBytes, error);
}

const Endpoint& HttpClient::server() const {
    return pool_->server();
}

bool HttpClient::has_live_idle_connection() const {
    return pool_->has_live_idle_connection();
}

std::size_t HttpClient::open_connections() const {
    return pool_->open_connections();
}

}  // namespace anisehold::net
