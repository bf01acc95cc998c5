#include "net/beast_support.hpp"
// Beast comes first, see there.
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <deque>
#include <limits>

#include "net/http_client.hpp"
#include "protocol/error_kind.hpp"

namespace anisehold::net {
namespace {

using Tcp = boost::asio::ip::tcp;
using ResponseParser = http::response_parser<http::buffer_body>;

struct Connection {
    explicit Connection(boost::asio::io_context& io) : stream(io) {}

    TimedStream stream;
    beast::flat_buffer buffer;
    TimePoint idle_since;
    Duration longest_idle = Duration::max();  ///< As the server announced it.
};

/// Share of the announced rest after which a connection isn't used any more.
constexpr double kRestMargin = 0.7;

/// The rest that the server grants an idle connection: `Keep-Alive: timeout=SECONDS`.
Duration announced_rest(beast::string_view keep_alive) {
    constexpr beast::string_view name = "timeout=";
    const auto at = keep_alive.find(name);
    if (at == beast::string_view::npos) {
        return Duration::max();
    }
    const auto text = keep_alive.substr(at + name.size());
    unsigned rest_s = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), rest_s).ec != std::errc{}) {
        return Duration::max();
    }
    return std::chrono::duration_cast<Duration>(seconds(rest_s) * kRestMargin);
}

/// Makes the system give up a connection whose peer has fallen silent: after bytes that aren't acknowledged,
/// and, if asked for, also while nothing is sent.
void detect_silence(Tcp::socket& socket, const HttpPoolLimits& limits) {
    if (limits.silence_timeout_ms == milliseconds::zero()) {
        return;
    }
    const int timeout_ms = static_cast<int>(limits.silence_timeout_ms.count());
    const int descriptor = socket.native_handle();
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
    if (!limits.probes_idle_connections) {
        return;
    }
    constexpr int probe_interval_s = 1;
    constexpr int probes = 2;
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probe_interval_s, sizeof probe_interval_s);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof probe_interval_s);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

/// Whether an idle connection has been closed, or holds bytes that nobody asked for.
bool is_stale(Connection& connection) {
    char byte = 0;
    const auto received =
        ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool silent = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return !silent || connection.buffer.size() != 0;
}

}  // namespace

struct HttpClient::State {
    State(boost::asio::io_context& io, Endpoint server, HttpPoolLimits limits)
        : io(io), server(std::move(server)), limits(limits) {}

    std::unique_ptr<Connection> take_idle(TimePoint now, Duration longest_idle);
    std::unique_ptr<Connection> connect(TimePoint deadline, std::error_code& error);
    void give_back(std::unique_ptr<Connection> connection);
    void discard(std::unique_ptr<Connection> connection);

    boost::asio::io_context& io;
    Endpoint server;
    HttpPoolLimits limits;
    std::deque<std::unique_ptr<Connection>> idle;
    std::size_t open = 0;
};

std::unique_ptr<Connection> HttpClient::State::take_idle(TimePoint now, Duration longest_idle) {
    while (!idle.empty()) {
        // The most recently used first: the least likely to have been closed.
        auto connection = std::move(idle.back());
        idle.pop_back();
        const auto rest =
            std::min({longest_idle, connection->longest_idle, Duration(limits.idle_timeout_ms)});
        const bool expired = now - connection->idle_since > rest;
        if (limits.reuse_unclean || (!expired && !is_stale(*connection))) {
            return connection;
        }
        discard(std::move(connection));
    }
    return nullptr;
}

std::unique_ptr<Connection> HttpClient::State::connect(TimePoint deadline, std::error_code& error) {
    if (open >= limits.connections) {
        error = std::make_error_code(std::errc::too_many_files_open);
        return nullptr;
    }
    ++open;
    auto connection = std::make_unique<Connection>(io);
    const auto address = boost::asio::ip::make_address(server.ip);
    const auto connect_deadline = std::min(deadline, TimePoint::clock::now() + limits.connect_timeout_ms);
    connection->stream.writes_expire_at(connect_deadline);
    const auto connect_error = connection->stream.connect(Tcp::endpoint(address, server.port));
    if (connect_error) {
        error = connect_error;
        discard(std::move(connection));
        return nullptr;
    }
    boost::system::error_code ignored;
    connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
    detect_silence(connection->stream.socket(), limits);
    return connection;
}

void HttpClient::State::give_back(std::unique_ptr<Connection> connection) {
    if (connection->stream.is_aborted()) {
        discard(std::move(connection));
        return;
    }
    const auto now = TimePoint::clock::now();
    connection->idle_since = now;
    if (connection->buffer.size() == 0) {
        connection->buffer.shrink_to_fit();
    }
    idle.push_back(std::move(connection));
    while (now - idle.front()->idle_since > limits.idle_timeout_ms) {
        auto expired = std::move(idle.front());
        idle.pop_front();
        discard(std::move(expired));
    }
}

void HttpClient::State::discard(std::unique_ptr<Connection> connection) {
    --open;
    connection.reset();
}

namespace {

/// Holds a connection for one exchange; returns it to the pool only when told that it is clean. An exchange
/// that is given up resets its connection: a request that a broken link still holds back must not come to the
/// peer later, when nobody waits for its answer.
template <typename Pool>
class ConnectionLease {
  public:
    ConnectionLease(std::shared_ptr<Pool> pool, std::unique_ptr<Connection> connection)
        : pool_(std::move(pool)), connection_(std::move(connection)) {}
    ~ConnectionLease() {
        if (connection_ && pool_->limits.reuse_unclean) {
            pool_->give_back(std::move(connection_));
        }
        if (connection_) {
            if (!whole_) {
                connection_->stream.reset();
            }
            pool_->discard(std::move(connection_));
        }
    }
    ConnectionLease(ConnectionLease&&) noexcept = default;
    ConnectionLease& operator=(ConnectionLease&&) = delete;

    Connection& operator*() { return *connection_; }
    Connection* operator->() { return connection_.get(); }
    /// The answer has been read to its end.
    void finish(bool reusable) {
        whole_ = true;
        if (connection_ && reusable) {
            pool_->give_back(std::move(connection_));
        }
    }

  private:
    std::shared_ptr<Pool> pool_;
    std::unique_ptr<Connection> connection_;
    bool whole_ = false;
};

/// Reads the unbuffered rest of an answer and then returns the connection.
template <typename Pool>
class ResponseBodyReader final : public BodyReader {
  public:
    ResponseBodyReader(ConnectionLease<Pool> lease, std::unique_ptr<ResponseParser> parser, Duration pause)
        : lease_(std::move(lease)), parser_(std::move(parser)), pause_(pause) {}

    std::size_t read(char* data, std::size_t size, std::error_code& error) override {
        if (parser_->is_done()) {
            return 0;
        }
        lease_->stream.reads_expire_after(pause_);
        boost::system::error_code read_error;
        const auto count = read_body_bytes(lease_->stream, lease_->buffer, *parser_, data, size, read_error);
        error = read_error;
        if (!read_error && parser_->is_done()) {
            lease_.finish(parser_->keep_alive());
        }
        return count;
    }

  private:
    ConnectionLease<Pool> lease_;
    std::unique_ptr<ResponseParser> parser_;
    Duration pause_;
};

http::request<http::buffer_body> request_head(const HttpRequest& request, const Endpoint& server) {
    http::request<http::buffer_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto& field : request.fields) {
        message.insert(field.name, field.value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, server.text());
    }
    return message;
}

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& io, Endpoint server, HttpPoolLimits limits)
    : state_(std::make_shared<State>(io, std::move(server), limits)) {}

HttpClient::~HttpClient() {
    state_->idle.clear();
}

std::optional<HttpResponse> HttpClient::exchange(HttpRequest& request, const ExchangeOptions& options,
                                                 ExchangeProgress& progress, std::error_code& error) {
    return run_exchange(request, options, kBufferedBodyBytes, progress, error);
}

std::optional<HttpResponse> HttpClient::exchange_streaming(HttpRequest& request, TimePoint deadline,
                                                           ExchangeProgress& progress,
                                                           std::error_code& error) {
    return run_exchange(request, {deadline, nullptr}, 0, progress, error);
}

std::optional<HttpResponse> HttpClient::run_exchange(HttpRequest& request, const ExchangeOptions& options,
                                                     std::size_t buffered_bytes, ExchangeProgress& progress,
                                                     std::error_code& error) {
    auto connection = state_->take_idle(TimePoint::clock::now(), options.longest_idle);
    progress.connection_reused = connection != nullptr;
    if (connection) {
        progress.idle_for = TimePoint::clock::now() - connection->idle_since;
    }
    if (!connection) {
        connection = state_->connect(options.deadline, error);
    }
    if (!connection) {
        return std::nullopt;
    }
    progress.connected = true;
    ConnectionLease<State> lease(state_, std::move(connection));
    if (options.cancel != nullptr && options.cancel->cancelled()) {
        error = make_error_code(ErrorKind::kCancelled);
        return std::nullopt;
    }
    CancelSubscription subscription(options.cancel, [&stream = lease->stream] { stream.abort(); });
    lease->stream.reads_expire_at(options.deadline);
    lease->stream.writes_expire_at(options.deadline);

    auto message = request_head(request, state_->server);
    boost::system::error_code io_error;
    std::error_code source_error;
    progress.request_started = true;
    write_message(lease->stream, message, request.body, Duration::zero(), io_error, source_error);
    if (io_error || source_error) {
        error = source_error ? source_error : std::error_code(io_error);
        return std::nullopt;
    }

    auto parser = std::make_unique<ResponseParser>();
    // Beast 1.74 takes "no limit" for a limit of zero where the length is declared.
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (request.method == "HEAD") {
        parser->skip(true);
    }
    io_error = read_header(lease->stream, lease->buffer, *parser);
    HttpResponse response;
    progress.answer_started = !io_error;
    if (!io_error) {
        response.status = parser->get().result_int();
        response.fields = copy_end_to_end_fields(parser->get());
        response.peer_closes = !parser->keep_alive();
        lease->longest_idle = announced_rest(parser->get()["Keep-Alive"]);
        if (options.expected_echo &&
            response.fields.find(options.expected_echo->name) != options.expected_echo->value) {
            error = make_error_code(ErrorKind::kBackendFailed);
            return std::nullopt;
        }
        read_body_prefix(lease->stream, lease->buffer, *parser, response.body.prefix, buffered_bytes,
                         io_error);
    }
    if (io_error) {
        error = io_error;
        return std::nullopt;
    }
    if (parser->is_done()) {
        response.body.length = response.body.prefix.size();
        lease.finish(parser->keep_alive());
        return response;
    }
    if (parser->content_length()) {
        response.body.length = *parser->content_length();
    }
    response.body.rest = std::make_unique<ResponseBodyReader<State>>(std::move(lease), std::move(parser),
                                                                     state_->limits.body_timeout_ms);
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
    return read_whole(response->body, kLargestFetchedText, error);
}

const Endpoint& HttpClient::server() const {
    return state_->server;
}

bool HttpClient::has_live_idle_connection() const {
    return std::any_of(state_->idle.begin(), state_->idle.end(),
                       [](const auto& connection) { return !is_stale(*connection); });
}

std::size_t HttpClient::open_connections() const {
    return state_->open;
}

}  // namespace anisehold::net
