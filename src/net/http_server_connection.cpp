#include "net/http_server_connection.hpp"

#include <sys/socket.h>

#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "net/fiber_event.hpp"
#include "net/message_writer.hpp"

namespace anisehold::net {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Maximum pause between unexpected bytes that are read from a connection after its last response.
constexpr milliseconds kLingerPause{1'000};
/// Maximum time for which they are read.
constexpr milliseconds kLingerTime{5'000};
/// Maximum requests of one connection that are handled concurrently.
constexpr std::size_t kMaxPipelinedRequests = 8;
constexpr unsigned kContinue = 100;
/// Minimum time for writing a response, which may be ready shortly before its receiver needs it.
constexpr milliseconds kMinWriteTime{1'000};
/// Maximum pause of a receiver that doesn't read its response.
constexpr milliseconds kMaxWritePause{10'000};
/// Memory that the open requests of one connection may take before the next one is read. The usual requests
/// of a connection stay below it.
constexpr std::size_t kMaxReadAheadBytes = 512 * 1024;
/// Estimated memory of a request apart from its content: the stacks of its fibers, and its state.
constexpr std::size_t kRequestBytes = 24 * 1024;
/// Copies of a request's content: as received, for further attempts, for the present attempt, and as sent.
constexpr std::size_t kRequestCopies = 4;
/// Minimum memory that is set apart for the content of a request and of its response.
constexpr std::size_t kMinContentBytes = 32 * 1024;

std::size_t size_of(const HeaderFields& fields, const Body& body) {
    return fields.lines().size() + body.prefix.size();
}

const boost::system::error_category& parse_category() {
    return make_error_code(http::error::bad_method).category();
}

std::string status_line(unsigned status, unsigned version) {
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    return (version == kHttp11 ? "HTTP/1.1 " : "HTTP/1.0 ") + std::to_string(status) + " " +
           std::string(reason) + "\r\n";
}

/// Returns the rejection for a failed read of a request, if a response is due.
std::optional<ErrorKind> rejection_for(const boost::system::error_code& error, bool anything_received) {
    if (error == http::error::header_limit) {
        return ErrorKind::kHeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ErrorKind::kBodyTooLarge;
    }
    if (error == boost::system::errc::not_enough_memory) {
        return ErrorKind::kMemoryFull;
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

}  // namespace

/// One request on a connection, and its position in the order of responses.
struct HttpServerConnection::PendingExchange {
    HttpRequest request;
    CancelSignal cancel;
    bool keep_alive = true;
    unsigned version = kHttp11;
    std::shared_ptr<PendingExchange> previous;
    FiberEvent body_consumed;    ///< Set when the handler has finished reading the request's body.
    FiberEvent written;          ///< Set when the response has been written, or never will be.
    std::size_t held_bytes = 0;  ///< Estimated memory.
};

/// Reads the unbuffered remainder of a request body.
class HttpServerConnection::RequestBodyReader final : public BodyReader {
  public:
    RequestBodyReader(TimedStream& stream, beast::flat_buffer& buffer, RequestParser& parser, Duration pause)
        : stream_(stream), buffer_(buffer), parser_(parser), pause_(pause) {}

    std::size_t read(char* data, std::size_t size, std::error_code& error) override {
        stream_.reads_expire_at(std::min(deadline_, TimePoint::clock::now() + pause_));
        boost::system::error_code read_error;
        const auto count = read_body_bytes(stream_, buffer_, parser_, data, size, read_error);
        error = read_error;
        return count;
    }

    void expire_at(TimePoint deadline) override { deadline_ = deadline; }

  private:
    TimedStream& stream_;
    beast::flat_buffer& buffer_;
    RequestParser& parser_;
    Duration pause_;
    TimePoint deadline_ = TimePoint::max();
};

void HttpServerShared::give_up(const std::vector<connection::ConnectionId>& ids) {
    for (const auto id : ids) {
        connections.at(id)->give_up();
        if (handlers.on_connection_given_up) {
            handlers.on_connection_given_up();
        }
    }
}

void HttpServerConnection::serve() {
    boost::system::error_code ignored;
    stream_.socket().set_option(Tcp::no_delay(true), ignored);
    bool reading = true;
    while (reading) {
        reading = wait_for_request() && read_request();
    }
    discard_until_closed();
    wait_until_written(last_);
    close_sending();
}

bool HttpServerConnection::wait_for_request() {
    while (open_exchanges_.size() >= kMaxPipelinedRequests || exchange_bytes_ > kMaxReadAheadBytes) {
        wait_until_written(open_exchanges_.front());
    }
    if (buffer_.size() > 0) {
        return true;
    }
    waiting_for_request_ = true;
    buffer_.shrink_to_fit();
    (void)has_room_to_receive(0);  // Giving up memory is always granted.
    stream_.reads_expire_never();
    const auto error = stream_.wait_readable();
    waiting_for_request_ = false;
    return !error && !answers_closed_;
}

bool HttpServerConnection::read_request() {
    RequestParser parser;
    auto exchange = std::make_shared<PendingExchange>();
    ++server_->receiving;
    auto error = receive(parser, exchange->request);
    --server_->receiving;
    if (!error && !admit(*exchange)) {
        error = make_error_code(boost::system::errc::not_enough_memory);
    }
    if (error) {
        stop_reading(error, parser.got_some());
        return false;
    }
    exchange->keep_alive = parser.keep_alive();
    exchange->version = parser.version();
    const bool whole = parser.is_done();
    auto& body = exchange->request.body;
    if (whole) {
        body.length = body.prefix.size();
    } else {
        body.rest =
            std::make_unique<RequestBodyReader>(stream_, buffer_, parser, server_->limits.body_timeout_ms);
    }
    start_answer(exchange);
    if (!whole) {
        // The parser is on this fiber's stack, so the handler must finish reading the body before the next
        // request.
        exchange->body_consumed.wait();
        exchange->keep_alive = exchange->keep_alive && parser.is_done();
        if (!parser.is_done()) {
            return false;
        }
    }
    return exchange->keep_alive;
}

/// Reads the header and up to `kBufferedBodyBytes` of the body.
boost::system::error_code HttpServerConnection::receive(RequestParser& parser, HttpRequest& request) {
    const auto& limits = server_->limits;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    limit_buffer(buffer_, limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    stream_.reads_expire_after(limits.header_timeout_ms);
    auto error = read_header(stream_, buffer_, parser, [&] {
        return has_room_to_receive(std::max(buffer_.capacity(), kReadBytes) +
                                   parser.fields().lines().capacity());
    });
    if (error) {
        return error;
    }
    request.method = parser.method();
    request.target = parser.target();
    request.fields = copy_end_to_end_fields(parser.fields());
    if (parser.content_length()) {
        request.body.length = *parser.content_length();
    }
    const auto prefix_bytes =
        std::min<std::uint64_t>(request.body.length.value_or(kBufferedBodyBytes), kBufferedBodyBytes);
    if (!parser.is_done() && !has_room_to_receive(receiving_bytes_ + prefix_bytes)) {
        return make_error_code(boost::system::errc::not_enough_memory);
    }
    stream_.reads_expire_after(limits.body_timeout_ms);
    if (beast::iequals(to_beast(parser.fields().find("Expect").value_or("")), "100-continue")) {
        const auto interim = status_line(kContinue, parser.version()) + "\r\n";
        write_buffers(stream_, boost::asio::buffer(interim));
    }
    read_body_prefix(stream_, buffer_, parser, request.body.prefix, kBufferedBodyBytes, error);
    return error;
}

/// Rejects a request that couldn't be parsed, or cancels the open ones if the peer has disconnected.
void HttpServerConnection::stop_reading(const boost::system::error_code& error, bool anything_received) {
    const bool ended = error == http::error::end_of_stream || error.category() != parse_category();
    const auto kind = rejection_for(error, anything_received);
    if (kind) {
        reject(*kind);
    } else if (ended) {
        cancel_all();
    }
}

/// Returns whether the budget has room for a request that has taken this much memory so far.
bool HttpServerConnection::has_room_to_receive(std::size_t bytes) {
    const auto before = std::exchange(receiving_bytes_, bytes);
    const auto room = connection::requestBytes(server_->budget, server_->budget_limits(), id_, held_bytes());
    server_->give_up(room.closed);
    if (!room.isGranted) {
        receiving_bytes_ = before;
    }
    return room.isGranted;
}

/// Returns whether the budget has room for handling a request that has been received.
bool HttpServerConnection::admit(PendingExchange& exchange) {
    const auto& request = exchange.request;
    const auto content = request.target.size() + size_of(request.fields, request.body);
    exchange.held_bytes = kRequestBytes + std::max(kMinContentBytes, kRequestCopies * content);
    exchange_bytes_ += exchange.held_bytes;
    if (!has_room_to_receive(buffer_.capacity())) {
        exchange_bytes_ -= exchange.held_bytes;
        return false;
    }
    return true;
}

/// Records that an exchange now takes this much memory, whether or not there is room.
void HttpServerConnection::record_held(PendingExchange& exchange, std::size_t bytes) {
    exchange_bytes_ = exchange_bytes_ - exchange.held_bytes + bytes;
    exchange.held_bytes = bytes;
    server_->give_up(connection::recordBytes(server_->budget, server_->budget_limits(), id_, held_bytes()));
}

void HttpServerConnection::start_answer(const std::shared_ptr<PendingExchange>& exchange) {
    exchange->previous = last_;
    // The fiber that handles the request keeps the connection alive.
    exchange->cancel.set_probe([this] { return has_ended(); });
    last_ = exchange;
    open_exchanges_.push_back(exchange);
    connection::setWaiting(server_->budget, id_, false);
    ++server_->in_flight;
    EventLoop::spawn([self = shared_from_this(), exchange] { self->answer(exchange); });
}

void HttpServerConnection::answer(const std::shared_ptr<PendingExchange>& exchange) {
    HttpResponse response = server_->handlers.handle(exchange->request, exchange->cancel);
    const bool body_unread = !exchange->request.body.whole();
    exchange->request = {};
    record_held(*exchange,
                kRequestBytes + std::max(kMinContentBytes, size_of(response.fields, response.body)));
    exchange->body_consumed.set();
    wait_until_written(std::move(exchange->previous));
    const bool keep_alive = exchange->keep_alive && !server_->closing && !body_unread;
    const bool writable = !peer_disconnected_ && !answers_closed_;
    const bool written = writable && write_response(response, exchange->version, keep_alive);
    if (!written || !keep_alive) {
        answers_closed_ = true;
        close_sending();
        stream_.cancel();
    }
    finish(exchange);
}

void HttpServerConnection::finish(const std::shared_ptr<PendingExchange>& exchange) {
    --server_->in_flight;
    std::erase(open_exchanges_, exchange);
    record_held(*exchange, 0);
    connection::setWaiting(server_->budget, id_, open_exchanges_.empty());
    if (last_ == exchange) {
        last_.reset();
    }
    idle_since_ = TimePoint::clock::now();
    exchange->written.set();
}

/// Reads and discards bytes that belong to no request. This detects that the peer disconnects, and prevents
/// their arrival from destroying a response that is still being transmitted. The peer may still be sending
/// the body of a rejected request, so the limit of bodies applies to these bytes.
void HttpServerConnection::discard_until_closed() {
    std::array<char, kStreamChunkBytes> scratch;
    std::uint64_t discarded = 0;
    auto linger_end = TimePoint::max();
    while (!peer_disconnected_ && !stream_.is_aborted() && discarded <= server_->limits.body_bytes) {
        const bool lingering = answers_closed_ || open_exchanges_.empty();
        if (lingering) {
            close_sending();
            const auto now = TimePoint::clock::now();
            linger_end = std::min(linger_end, now + kLingerTime);
            stream_.reads_expire_at(std::min(linger_end, now + kLingerPause));
        } else {
            stream_.reads_expire_never();
        }
        const auto error = stream_.complete_read(
            [&](auto& ec) { discarded += stream_.socket().read_some(boost::asio::buffer(scratch), ec); });
        const bool answers_just_closed = !lingering && answers_closed_;
        if ((error && !answers_just_closed) || TimePoint::clock::now() >= linger_end) {
            cancel_all();
        }
        // The bytes may arrive without a pause, so other fibers get a turn.
        boost::this_fiber::yield();
    }
}

void HttpServerConnection::reject(ErrorKind kind) {
    wait_until_written(last_);
    // A sender that was too slow may still read the response.
    auto response = server_->handlers.reject(kind);
    write_response(response, kHttp11, false);
    answers_closed_ = true;
}

bool HttpServerConnection::write_response(HttpResponse& response, unsigned version, bool keep_alive) {
    auto head = status_line(response.status, version) + response.fields.lines();
    if (keep_alive != (version == kHttp11)) {
        head += keep_alive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
    }
    boost::system::error_code error;
    std::error_code source_error;
    const auto earliest_end = TimePoint::clock::now() + kMinWriteTime;
    const WriteLimits limits{std::min<Duration>(server_->limits.body_timeout_ms, kMaxWritePause),
                             std::max(response.needed_until, earliest_end)};
    write_message(stream_, std::move(head), response.body, limits, error, source_error);
    return !error && !source_error;
}

void HttpServerConnection::close_sending() {
    boost::system::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

void HttpServerConnection::close() {
    boost::system::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
}

void HttpServerConnection::reset() {
    cancel_all();
    stream_.reset();
}

/// Whether the peer has closed the connection, even if the end of the stream hasn't been read yet.
bool HttpServerConnection::has_ended() {
    char byte = 0;
    const auto got = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool would_wait = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return got <= 0 && !would_wait;
}

void HttpServerConnection::cancel_all() {
    peer_disconnected_ = true;
    const auto exchanges = open_exchanges_;
    for (const auto& exchange : exchanges) {
        exchange->cancel.cancel();
    }
}

/// Waits for the end of an exchange, if there is one. Takes shared ownership, because the other owners
/// release the exchange when it ends.
void HttpServerConnection::wait_until_written(std::shared_ptr<PendingExchange> exchange) {
    if (exchange) {
        exchange->written.wait();
    }
}

}  // namespace anisehold::net
