#include "net/http_server_connection.hpp"
// Beast comes first, see there.
#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/listen.hpp"

namespace anisehold::net {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Pause after a failed accept, which is usually caused by a lack of file descriptors.
constexpr milliseconds kAcceptPause{10};
/// Interval of the idle check. Each check wakes up an idle process; a connection may exceed its idle timeout
/// by this interval.
constexpr milliseconds kIdleCheckPeriod{3'000};

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(boost::asio::io_context& io, HttpServerLimits limits, HttpServerHandlers handlers)
        : acceptor(io),
          shared(std::make_shared<HttpServerShared>(HttpServerShared{limits, std::move(handlers), {}, {}})) {}

    void accept_connections();
    void close_expired_connections();

    Tcp::acceptor acceptor;
    std::shared_ptr<HttpServerShared> shared;
    connection::ConnectionId last_id = 0;
    bool stopping = false;
};

void HttpServer::State::accept_connections() {
    while (!stopping) {
        Tcp::socket socket(acceptor.get_executor());
        const auto result =
            await_io([&](auto handler) { acceptor.async_accept(socket, std::move(handler)); });
        if (result.error) {
            if (result.error == boost::asio::error::no_descriptors) {
                shared->give_up(connection::giveUpLongestWaiting(shared->budget));
            }
            boost::this_fiber::sleep_for(kAcceptPause);
            continue;
        }
        const auto room = connection::openConnection(shared->budget, shared->budget_limits(), ++last_id,
                                                     HttpServerConnection::kConnectionBytes);
        shared->give_up(room.closed);
        if (!room.isGranted) {
            continue;
        }
        auto connection = std::make_shared<HttpServerConnection>(std::move(socket), shared, last_id);
        shared->connections.emplace(last_id, connection);
        EventLoop::spawn([self = shared_from_this(), connection, id = last_id] {
            connection->serve();
            connection::removeConnection(self->shared->budget, id);
            self->shared->connections.erase(id);
        });
    }
}

void HttpServer::State::close_expired_connections() {
    while (!stopping) {
        boost::this_fiber::sleep_for(kIdleCheckPeriod);
        const auto now = TimePoint::clock::now();
        for (const auto& [id, connection] : shared->connections) {
            if (connection->is_idle() && now - connection->idle_since() > shared->limits.idle_timeout_ms) {
                connection->close();
            }
        }
    }
}

HttpServer::HttpServer(boost::asio::io_context& io, HttpServerLimits limits, HttpServerHandlers handlers)
    : state_(std::make_shared<State>(io, limits, std::move(handlers))) {}

HttpServer::~HttpServer() {
    stop_accepting();
}

std::error_code HttpServer::start(const Endpoint& endpoint) {
    const auto error = listen_on(state_->acceptor, endpoint);
    if (!error) {
        // Accepted connections inherit the size.
        const auto receive_buffer_bytes = state_->shared->limits.receive_buffer_bytes;
        boost::system::error_code ignored;
        if (receive_buffer_bytes > 0) {
            state_->acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes),
                                        ignored);
        }
        EventLoop::spawn([state = state_] { state->accept_connections(); });
        EventLoop::spawn([state = state_] { state->close_expired_connections(); });
    }
    return error;
}

std::uint16_t HttpServer::port() const {
    boost::system::error_code ignored;
    return state_->acceptor.local_endpoint(ignored).port();
}

void HttpServer::begin_closing() {
    state_->shared->closing = true;
}

void HttpServer::stop_accepting() {
    state_->shared->closing = true;
    state_->stopping = true;
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
}

void HttpServer::set_limits(const HttpServerLimits& limits) {
    state_->shared->limits = limits;
}

void HttpServer::close_idle() {
    for (const auto& [id, connection] : state_->shared->connections) {
        if (connection->is_idle()) {
            connection->close();
        }
    }
}

void HttpServer::reset_connections() {
    const auto connections = state_->shared->connections;
    for (const auto& [id, connection] : connections) {
        connection->reset();
    }
}

std::size_t HttpServer::requests_in_flight() const {
    return state_->shared->receiving + state_->shared->in_flight;
}

}  // namespace anisehold::net
