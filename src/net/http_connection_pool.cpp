#include "net/http_connection_pool.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <iterator>

namespace anisehold::net {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Identified requests after which a connection is closed. Bounds the memory of `HttpConnection::sent_ids`.
constexpr std::size_t kMaxIdentifiedRequests = 1'000;

/// Makes the system close a connection whose peer has become unresponsive: if sent bytes aren't acknowledged
/// and, if enabled in the limits, also while nothing is sent.
void enable_dead_peer_detection(Tcp::socket& socket, const HttpPoolLimits& limits) {
    if (limits.silence_timeout_ms == milliseconds::zero()) {
        return;
    }
    const int timeout_ms = static_cast<int>(limits.silence_timeout_ms.count());
    const int descriptor = socket.native_handle();
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
    if (!limits.probes_idle_connections) {
        return;
    }
    // The user timeout set above ends the wait in any case.
    constexpr int probe_interval_s = 1;
    constexpr int probes = 2;
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &probe_interval_s, sizeof probe_interval_s);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof probe_interval_s);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

/// Whether an idle connection has been closed, or holds unexpected bytes.
bool is_stale(HttpConnection& connection) {
    char byte = 0;
    const auto received =
        ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool silent = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return !silent || connection.buffer.size() != 0;
}

}  // namespace

void HttpConnection::record_sent(std::string_view id) {
    sent_ids.push_back(std::hash<std::string_view>()(id));
}

bool HttpConnection::has_sent(std::string_view id) const {
    return std::find(sent_ids.begin(), sent_ids.end(), std::hash<std::string_view>()(id)) != sent_ids.end();
}

std::unique_ptr<HttpConnection> HttpConnectionPool::acquire(const ExchangeOptions& options,
                                                            ExchangeProgress& progress,
                                                            std::error_code& error) {
    auto connection = acquire_unrecorded(options, progress, error);
    if (connection) {
        progress.connection = connection->number;
    }
    if (connection && options.expected_echo) {
        connection->record_sent(options.expected_echo->value);
    }
    return connection;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::acquire_unrecorded(const ExchangeOptions& options,
                                                                       ExchangeProgress& progress,
                                                                       std::error_code& error) {
    auto connection = options.exclusive_connection ? nullptr : take_idle(TimePoint::clock::now(), options);
    progress.connection_reused = connection != nullptr;
    if (connection) {
        progress.idle_for = TimePoint::clock::now() - connection->idle_since;
        return connection;
    }
    connection = connect(options.deadline, error);
    if (connection) {
        connection->is_exclusive = options.exclusive_connection;
    }
    return connection;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::take_idle(TimePoint now, const ExchangeOptions& options) {
    // The most recently used connection is tried first, as the server is least likely to have closed it.
    for (auto position = idle_.size(); position > 0; --position) {
        const auto at = std::next(idle_.begin(), static_cast<std::ptrdiff_t>(position - 1));
        if (options.expected_echo && (*at)->has_sent(options.expected_echo->value)) {
            continue;
        }
        auto connection = std::move(*at);
        idle_.erase(at);
        const auto allowed =
            std::min({options.max_idle, connection->max_idle, Duration(limits_.idle_timeout_ms)});
        const bool expired = now - connection->idle_since > allowed;
        if (limits_.reuse_unclean || (!expired && !is_stale(*connection))) {
            return connection;
        }
        discard(std::move(connection));
    }
    return nullptr;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::connect(TimePoint deadline, std::error_code& error) {
    if (open_ >= limits_.connections && !idle_.empty()) {
        // Idle connections that must not be used for this exchange make room for one that may.
        discard_oldest_idle();
    }
    if (open_ >= limits_.connections) {
        error = std::make_error_code(std::errc::too_many_files_open);
        return nullptr;
    }
    ++open_;
    auto connection = std::make_unique<HttpConnection>(io_, ++opened_);
    const auto address = boost::asio::ip::make_address(server_.ip);
    const auto connect_deadline = std::min(deadline, TimePoint::clock::now() + limits_.connect_timeout_ms);
    connection->stream.writes_expire_at(connect_deadline);
    const auto connect_error = connection->stream.connect(Tcp::endpoint(address, server_.port));
    if (connect_error) {
        error = connect_error;
        discard(std::move(connection));
        return nullptr;
    }
    boost::system::error_code ignored;
    connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
    enable_dead_peer_detection(connection->stream.socket(), limits_);
    return connection;
}

void HttpConnectionPool::release(std::unique_ptr<HttpConnection> connection) {
    const bool is_used_up = connection->is_exclusive || connection->sent_ids.size() >= kMaxIdentifiedRequests;
    if (connection->stream.is_aborted() || is_used_up) {
        discard(std::move(connection));
        return;
    }
    const auto now = TimePoint::clock::now();
    connection->idle_since = now;
    if (connection->buffer.size() == 0) {
        connection->buffer.shrink_to_fit();
    }
    idle_.push_back(std::move(connection));
    while (now - idle_.front()->idle_since > limits_.idle_timeout_ms) {
        discard_oldest_idle();
    }
}

void HttpConnectionPool::discard_oldest_idle() {
    auto oldest = std::move(idle_.front());
    idle_.pop_front();
    discard(std::move(oldest));
}

void HttpConnectionPool::discard(std::unique_ptr<HttpConnection> connection) {
    --open_;
    connection.reset();
}

bool HttpConnectionPool::has_live_idle_connection() const {
    return std::any_of(idle_.begin(), idle_.end(),
                       [](const auto& connection) { return !is_stale(*connection); });
}

HttpConnectionLease::~HttpConnectionLease() {
    if (connection_ && pool_->limits().reuse_unclean) {
        pool_->release(std::move(connection_));
    }
    if (connection_) {
        if (!whole_) {
            connection_->stream.reset();
        }
        pool_->discard(std::move(connection_));
    }
}

void HttpConnectionLease::finish(bool reusable) {
    whole_ = true;
    if (connection_ && reusable) {
        pool_->release(std::move(connection_));
    }
}

}  // namespace anisehold::net
