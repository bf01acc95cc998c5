#include "net/beast_support.hpp"
// Beast comes first, see there.
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/listen.hpp"

namespace anisehold::net {
namespace {

using Tcp = boost::asio::ip::tcp;
using RequestParser = http::request_parser<http::buffer_body>;

constexpr milliseconds kAcceptPause{10};

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
    const bool is_parse_error = error.category() == make_error_code(http::error::bad_method).category();
    if (is_parse_error && error != http::error::end_of_stream && error != http::error::partial_message) {
        return ErrorKind::kBadRequest;
    }
    return std::nullopt;
}

/// Fires a cancel signal when the peer closes while its request is being answered.
class DisconnectWatch {
  public:
    DisconnectWatch(Tcp::socket& socket, CancelSignal& signal)
        : state_(std::make_shared<State>()), socket_(socket) {
        state_->signal = &signal;
        state_->descriptor = socket.native_handle();
        socket.async_wait(Tcp::socket::wait_read, [state = state_](boost::system::error_code error) {
            if (state->signal != nullptr && !error && peer_closed(state->descriptor)) {
                state->signal->cancel();
            }
        });
    }
    ~DisconnectWatch() {
        state_->signal = nullptr;
        boost::system::error_code ignored;
        socket_.cancel(ignored);
    }
    DisconnectWatch(const DisconnectWatch&) = delete;
    DisconnectWatch& operator=(const DisconnectWatch&) = delete;

  private:
    struct State {
        CancelSignal* signal = nullptr;
        int descriptor = -1;
    };

    static bool peer_closed(int descriptor) {
        char byte = 0;
        const auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::shared_ptr<State> state_;
    Tcp::socket& socket_;
};

/// Reads the unbuffered rest of a request body.
class RequestBodyReader final : public BodyReader {
  public:
    RequestBodyReader(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser,
                      Duration pause)
        : stream_(stream), buffer_(buffer), parser_(parser), pause_(pause) {}

    std::size_t read(char* data, std::size_t size, std::error_code& error) override {
        stream_.expires_after(pause_);
        boost::system::error_code read_error;
        const auto count = read_body_bytes(stream_, buffer_, parser_, data, size, read_error);
        error = read_error;
        return count;
    }

  private:
    beast::tcp_stream& stream_;
    beast::flat_buffer& buffer_;
    RequestParser& parser_;
    Duration pause_;
};

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(boost::asio::io_context& io, HttpServerLimits limits, HttpServerHandlers handlers)
        : acceptor(io), limits(limits), handlers(std::move(handlers)) {}

    void accept_connections();
    void serve_connection(beast::tcp_stream& stream);
    bool serve_request(beast::tcp_stream& stream, beast::flat_buffer& buffer);
    void reject(beast::tcp_stream& stream, ErrorKind kind);
    bool write_response(beast::tcp_stream& stream, HttpResponse& response, unsigned version, bool keep_alive);

    Tcp::acceptor acceptor;
    HttpServerLimits limits;
    HttpServerHandlers handlers;
    bool closing = false;
    bool stopping = false;
    std::size_t connections = 0;
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
        if (connections >= limits.connections) {
            continue;
        }
        ++connections;
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        EventLoop::spawn([self = shared_from_this(), stream] {
            self->serve_connection(*stream);
            --self->connections;
        });
    }
}

void HttpServer::State::serve_connection(beast::tcp_stream& stream) {
    boost::system::error_code ignored;
    stream.socket().set_option(Tcp::no_delay(true), ignored);
    beast::flat_buffer buffer;
    while (serve_request(stream, buffer)) {
    }
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

bool HttpServer::State::serve_request(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    stream.expires_after(limits.header_timeout_ms);
    auto error = await_io([&](auto handler) {
                     http::async_read_header(stream, buffer, parser, std::move(handler));
                 }).error;
    if (error) {
        if (const auto kind = rejection_for(error, parser.got_some())) {
            reject(stream, *kind);
        }
        return false;
    }

    HttpRequest request;
    request.method = std::string(parser.get().method_string());
    request.target = std::string(parser.get().target());
    request.fields = copy_end_to_end_fields(parser.get());
    if (parser.content_length()) {
        request.body.length = *parser.content_length();
    }
    stream.expires_after(limits.body_timeout_ms);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> go_on(http::status::continue_, parser.get().version());
        await_io([&](auto handler) { http::async_write(stream, go_on, std::move(handler)); });
    }
    read_body_prefix(stream, buffer, parser, request.body.prefix, kBufferedBodyBytes, error);
    if (error) {
        if (const auto kind = rejection_for(error, true)) {
            reject(stream, *kind);
        }
        return false;
    }
    if (parser.is_done()) {
        request.body.length = request.body.prefix.size();
    } else {
        request.body.rest =
            std::make_unique<RequestBodyReader>(stream, buffer, parser, limits.body_timeout_ms);
    }

    ++in_flight;
    HttpResponse response;
    bool caller_gone = false;
    {
        CancelSignal cancel;
        std::optional<DisconnectWatch> watch;
        if (parser.is_done()) {
            watch.emplace(stream.socket(), cancel);
        }
        response = handlers.handle(request, cancel);
        caller_gone = cancel.cancelled();
    }
    const bool keep_alive = parser.is_done() && parser.keep_alive() && !closing && !caller_gone;
    const bool written = !caller_gone && write_response(stream, response, parser.get().version(), keep_alive);
    --in_flight;
    return written && keep_alive;
}

void HttpServer::State::reject(beast::tcp_stream& stream, ErrorKind kind) {
    // A timed-out stream is closed by Beast; the write then fails, which is all that can be done.
    auto response = handlers.reject(kind);
    stream.expires_after(limits.body_timeout_ms);
    constexpr unsigned http_11 = 11;
    write_response(stream, response, http_11, false);
}

bool HttpServer::State::write_response(beast::tcp_stream& stream, HttpResponse& response, unsigned version,
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
    stream.expires_after(limits.body_timeout_ms);
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

std::size_t HttpServer::requests_in_flight() const {
    return state_->in_flight;
}

}  // namespace anisehold::net
