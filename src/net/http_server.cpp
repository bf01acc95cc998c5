#include "net/beast_support.hpp"
// Beast comes first, see there.
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>
#include <deque>
#include <set>

#include "net/event_loop.hpp"
#include "net/fiber_event.hpp"
#include "net/http_server.hpp"
#include "net/listen.hpp"

namespace anisehold::net {
namespace {

using Tcp = boost::asio::ip::tcp;
using RequestParser = http::request_parser<http::buffer_body>;

constexpr milliseconds kAcceptPause{10};
/// Each look is a wake-up of an idle process; a connection may rest that much longer than its limit.
constexpr milliseconds kRestCheckPeriod{3'000};
/// How long bytes that belong to no request are read off a connection after its last answer.
constexpr milliseconds kLingerTime{1'000};
/// Most requests of one connection that are answered at the same time.
constexpr std::size_t kMostPipelined = 8;

const boost::system::error_category& parse_category() {
    return make_error_code(http::error::bad_method).category();
}

/// Which kind of rejection a failed read of a request calls for, if the sender deserves an answer at all.
std::optional<ErrorKind> rejection_for(const boost::system::error_code& error, bool anything_received) {
    if (error == http::error::header_limit) {
        return ErrorKind::kHeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ErrorKind::kBodyTooLarge;
    }
    if (error == beast::error::timeout) {
        return anything_received ? std::optional(ErrorKind::kSlowSender) : std::nullopt;
    }
    const bool is_parse_error = error.category() == parse_category();
    if (is_parse_error && error != http::error::end_of_stream && error != http::error::partial_message) {
        return ErrorKind::kBadRequest;
    }
    return std::nullopt;
}

/// Reads the unbuffered rest of a request body.
class RequestBodyReader final : public BodyReader {
  public:
    RequestBodyReader(TimedStream& stream, beast::flat_buffer& buffer, RequestParser& parser, Duration pause)
        : stream_(stream), buffer_(buffer), parser_(parser), pause_(pause) {}

    std::size_t read(char* data, std::size_t size, std::error_code& error) override {
        stream_.reads_expire_after(pause_);
        boost::system::error_code read_error;
        const auto count = read_body_bytes(stream_, buffer_, parser_, data, size, read_error);
        error = read_error;
        return count;
    }

  private:
    TimedStream& stream_;
    beast::flat_buffer& buffer_;
    RequestParser& parser_;
    Duration pause_;
};

/// One request on a connection and its place in the order of answers.
struct PendingExchange {
    HttpRequest request;
    CancelSignal cancel;
    bool keep_alive = true;
    unsigned version = 11;
    std::shared_ptr<PendingExchange> previous;
    FiberEvent body_taken;  ///< Set when the handler no longer reads the request's body.
    FiberEvent written;     ///< Set when the answer has left, or never will.
};

/// Waits for the end of an exchange, if there is one. Takes a share of it: its owners let go of it as it
/// ends.
void wait_until_written(std::shared_ptr<PendingExchange> exchange) {
    if (exchange) {
        exchange->written.wait();
    }
}

}  // namespace

/// One accepted connection. A reader fiber takes requests off it; each request has a fiber of its own.
struct HttpServer::Connection {
    explicit Connection(Tcp::socket socket) : stream(std::move(socket)) {}

    /// Whether the peer has ended the connection, though that may not have been read yet.
    bool has_ended() {
        char byte = 0;
        const auto got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool would_wait = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
        return got <= 0 && !would_wait;
    }
    bool is_resting() const { return open_exchanges.empty() && waiting_for_request; }
    void close_at_rest() {
        boost::system::error_code ignored;
        stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    }
    void cancel_all() {
        peer_gone = true;
        const auto exchanges = open_exchanges;
        for (const auto& exchange : exchanges) {
            exchange->cancel.cancel();
        }
    }

    TimedStream stream;
    beast::flat_buffer buffer;
    std::deque<std::shared_ptr<PendingExchange>> open_exchanges;
    std::shared_ptr<PendingExchange> last;  ///< The latest exchange, while its answer isn't written.
    TimePoint resting_since = TimePoint::clock::now();
    bool waiting_for_request = false;
    bool peer_gone = false;
    bool answers_closed = false;  ///< An answer that closes the connection was written.
};

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(boost::asio::io_context& io, HttpServerLimits limits, HttpServerHandlers handlers)
        : acceptor(io), limits(limits), handlers(std::move(handlers)) {}

    void accept_connections();
    void close_rested_connections();
    void serve_connection(const std::shared_ptr<Connection>& connection);
    bool wait_for_request(Connection& connection);
    bool read_request(const std::shared_ptr<Connection>& connection);
    void answer(const std::shared_ptr<Connection>& connection,
                const std::shared_ptr<PendingExchange>& exchange);
    void finish(Connection& connection, const std::shared_ptr<PendingExchange>& exchange);
    void discard_until_closed(Connection& connection);
    void reject(Connection& connection, ErrorKind kind);
    bool write_response(TimedStream& stream, HttpResponse& response, unsigned version, bool keep_alive);

    Tcp::acceptor acceptor;
    HttpServerLimits limits;
    HttpServerHandlers handlers;
    std::set<std::shared_ptr<Connection>> connections;
    bool closing = false;
    bool stopping = false;
    std::size_t in_flight = 0;
};

void HttpServer::State::accept_connections() {
    while (!stopping) {
        Tcp::socket socket(acceptor.get_executor());
        const auto result =
            await_io([&](auto handler) { acceptor.async_accept(socket, std::move(handler)); });
        if (result.error) {
            // Out of descriptors, mostly: pause instead of asking again at once.
            boost::this_fiber::sleep_for(kAcceptPause);
            continue;
        }
        if (connections.size() >= limits.connections) {
            continue;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        connections.insert(connection);
        EventLoop::spawn([self = shared_from_this(), connection] {
            self->serve_connection(connection);
            self->connections.erase(connection);
        });
    }
}

void HttpServer::State::close_rested_connections() {
    while (!stopping) {
        boost::this_fiber::sleep_for(kRestCheckPeriod);
        const auto now = TimePoint::clock::now();
        for (const auto& connection : connections) {
            if (connection->is_resting() && now - connection->resting_since > limits.idle_timeout_ms) {
                connection->close_at_rest();
            }
        }
    }
}

void HttpServer::State::serve_connection(const std::shared_ptr<Connection>& connection) {
    boost::system::error_code ignored;
    connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
    bool reading = true;
    while (reading) {
        reading = wait_for_request(*connection) && read_request(connection);
    }
    discard_until_closed(*connection);
    wait_until_written(connection->last);
    connection->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

bool HttpServer::State::wait_for_request(Connection& connection) {
    if (connection.open_exchanges.size() >= kMostPipelined) {
        wait_until_written(connection.open_exchanges.front());
    }
    if (connection.buffer.size() > 0) {
        return true;
    }
    connection.waiting_for_request = true;
    connection.buffer.shrink_to_fit();
    connection.stream.reads_expire_never();
    const auto error = connection.stream.wait_readable();
    connection.waiting_for_request = false;
    return !error && !connection.answers_closed;
}

bool HttpServer::State::read_request(const std::shared_ptr<Connection>& connection) {
    auto& stream = connection->stream;
    auto& buffer = connection->buffer;
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    stream.reads_expire_after(limits.header_timeout_ms);
    auto error = read_header(stream, buffer, parser);
    auto exchange = std::make_shared<PendingExchange>();
    auto& request = exchange->request;
    if (!error) {
        request.method = std::string(parser.get().method_string());
        request.target = std::string(parser.get().target());
        request.fields = copy_end_to_end_fields(parser.get());
        if (parser.content_length()) {
            request.body.length = *parser.content_length();
        }
        stream.reads_expire_after(limits.body_timeout_ms);
        if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            http::response<http::empty_body> go_on(http::status::continue_, parser.get().version());
            stream.complete_write([&](auto& ec) { http::write(stream.socket(), go_on, ec); });
        }
        read_body_prefix(stream, buffer, parser, request.body.prefix, kBufferedBodyBytes, error);
    }
    if (error) {
        const bool ended = error == http::error::end_of_stream || error.category() != parse_category();
        const auto kind = rejection_for(error, parser.got_some());
        if (kind) {
            reject(*connection, *kind);
        } else if (ended) {
            connection->cancel_all();
        }
        return false;
    }
    exchange->keep_alive = parser.keep_alive();
    exchange->version = parser.get().version();
    exchange->previous = connection->last;
    // The fiber that handles the request keeps the connection.
    exchange->cancel.set_probe([ended = connection.get()] { return ended->has_ended(); });
    const bool whole = parser.is_done();
    if (whole) {
        request.body.length = request.body.prefix.size();
    } else {
        request.body.rest =
            std::make_unique<RequestBodyReader>(stream, buffer, parser, limits.body_timeout_ms);
    }
    connection->last = exchange;
    connection->open_exchanges.push_back(exchange);
    ++in_flight;
    EventLoop::spawn(
        [self = shared_from_this(), connection, exchange] { self->answer(connection, exchange); });
    if (!whole) {
        // The parser lives on this fiber's stack: the body must be done with before the next request.
        exchange->body_taken.wait();
        exchange->keep_alive = exchange->keep_alive && parser.is_done();
        if (!parser.is_done()) {
            return false;
        }
    }
    return exchange->keep_alive;
}

void HttpServer::State::answer(const std::shared_ptr<Connection>& connection,
                               const std::shared_ptr<PendingExchange>& exchange) {
    HttpResponse response = handlers.handle(exchange->request, exchange->cancel);
    const bool body_left = !exchange->request.body.whole();
    exchange->request.body.rest.reset();
    exchange->body_taken.set();
    wait_until_written(std::move(exchange->previous));
    const bool keep_alive = exchange->keep_alive && !closing && !body_left;
    const bool writable = !connection->peer_gone && !connection->answers_closed;
    const bool written =
        writable && write_response(connection->stream, response, exchange->version, keep_alive);
    if (!written || !keep_alive) {
        connection->answers_closed = true;
        boost::system::error_code ignored;
        connection->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        connection->stream.cancel();
    }
    finish(*connection, exchange);
}

void HttpServer::State::finish(Connection& connection, const std::shared_ptr<PendingExchange>& exchange) {
    --in_flight;
    std::erase(connection.open_exchanges, exchange);
    if (connection.last == exchange) {
        connection.last.reset();
    }
    connection.resting_since = TimePoint::clock::now();
    exchange->written.set();
}

void HttpServer::State::discard_until_closed(Connection& connection) {
    // What comes now belongs to no request. Reading it tells when the peer leaves, and keeps its arrival from
    // destroying an answer that is still on its way.
    std::array<char, kStreamChunkBytes> scratch;
    while (!connection.peer_gone) {
        const bool lingering = connection.answers_closed || connection.open_exchanges.empty();
        if (lingering) {
            boost::system::error_code ignored;
            connection.stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
            connection.stream.reads_expire_after(kLingerTime);
        } else {
            connection.stream.reads_expire_never();
        }
        const auto error = connection.stream.complete_read(
            [&](auto& ec) { connection.stream.socket().read_some(boost::asio::buffer(scratch), ec); });
        const bool answers_just_closed = !lingering && connection.answers_closed;
        if (error && !answers_just_closed) {
            connection.cancel_all();
        }
    }
}

void HttpServer::State::reject(Connection& connection, ErrorKind kind) {
    wait_until_written(connection.last);
    // A sender that was too slow may still read the answer.
    auto response = handlers.reject(kind);
    constexpr unsigned http_11 = 11;
    write_response(connection.stream, response, http_11, false);
    connection.answers_closed = true;
}

bool HttpServer::State::write_response(TimedStream& stream, HttpResponse& response, unsigned version,
                                       bool keep_alive) {
    http::response<http::buffer_body> message;
    message.version(static_cast<int>(version));
    message.result(response.status);
    for (const auto& field : response.fields) {
        message.insert(field.name, field.value);
    }
    message.keep_alive(keep_alive);
    boost::system::error_code error;
    std::error_code source_error;
    stream.writes_expire_after(limits.body_timeout_ms);
    write_message(stream, message, response.body, limits.body_timeout_ms, error, source_error);
    return !error && !source_error;
}

HttpServer::HttpServer(boost::asio::io_context& io, HttpServerLimits limits, HttpServerHandlers handlers)
    : state_(std::make_shared<State>(io, limits, std::move(handlers))) {}

HttpServer::~HttpServer() {
    stop_accepting();
}

std::error_code HttpServer::start(const Endpoint& endpoint) {
    const auto error = listen_on(state_->acceptor, endpoint);
    if (!error) {
        EventLoop::spawn([state = state_] { state->accept_connections(); });
        EventLoop::spawn([state = state_] { state->close_rested_connections(); });
    }
    return error;
}

std::uint16_t HttpServer::port() const {
    boost::system::error_code ignored;
    return state_->acceptor.local_endpoint(ignored).port();
}

void HttpServer::begin_closing() {
    state_->closing = true;
}

void HttpServer::stop_accepting() {
    state_->closing = true;
    state_->stopping = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
}

void HttpServer::set_limits(const HttpServerLimits& limits) {
    state_->limits = limits;
}

void HttpServer::close_idle() {
    for (const auto& connection : state_->connections) {
        if (connection->is_resting()) {
            connection->close_at_rest();
        }
    }
}

void HttpServer::reset_connections() {
    const auto connections = state_->connections;
    for (const auto& connection : connections) {
        connection->cancel_all();
        connection->stream.reset();
    }
}

std::size_t HttpServer::requests_in_flight() const {
    return state_->in_flight;
}

}  // namespace anisehold::net
