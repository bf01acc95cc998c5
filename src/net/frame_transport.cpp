#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <map>

#include "net/await_io.hpp"
#include "net/event_loop.hpp"
#include "net/frame_transport.hpp"
#include "net/listen.hpp"

namespace anisehold::net {
namespace {

using Tcp = boost::asio::ip::tcp;
using Stream = boost::beast::tcp_stream;
using LengthBytes = std::array<unsigned char, 4>;

/// Idle timeout of a server's connections.
constexpr seconds kServerIdleTimeout{60};
/// Timeout of writing a reply.
constexpr seconds kWriteTimeout{5};
/// Idle timeout of a client's connections; shorter than the server's, so that the client closes a connection
/// first.
constexpr seconds kClientIdleTimeout{30};
/// Maximum idle connections of a client to one server.
constexpr std::size_t kMaxIdlePerServer = 4;
/// Minimum time between two removals of expired idle connections.
constexpr seconds kReapPeriod{10};

boost::system::error_code write_frame(Stream& stream, std::string_view frame) {
    const auto size = static_cast<std::uint32_t>(frame.size());
    LengthBytes length{static_cast<unsigned char>(size >> 24U), static_cast<unsigned char>(size >> 16U),
                       static_cast<unsigned char>(size >> 8U), static_cast<unsigned char>(size)};
    const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(length),
                                                           boost::asio::buffer(frame.data(), frame.size())};
    return await_io([&](auto handler) { boost::asio::async_write(stream, buffers, std::move(handler)); })
        .error;
}

boost::system::error_code read_frame(Stream& stream, std::size_t max_frame, std::string& frame) {
    LengthBytes length{};
    auto result = await_io([&](auto handler) {
        boost::asio::async_read(stream, boost::asio::buffer(length), std::move(handler));
    });
    if (result.error) {
        return result.error;
    }
    const std::size_t size = (static_cast<std::size_t>(length[0]) << 24U) |
                             (static_cast<std::size_t>(length[1]) << 16U) |
                             (static_cast<std::size_t>(length[2]) << 8U) | length[3];
    if (size > max_frame) {
        return boost::system::errc::make_error_code(boost::system::errc::message_size);
    }
    frame.resize(size);
    result = await_io([&](auto handler) {
        boost::asio::async_read(stream, boost::asio::buffer(frame), std::move(handler));
    });
    return result.error;
}

}  // namespace

struct FrameServer::State : std::enable_shared_from_this<FrameServer::State> {
    State(boost::asio::io_context& io, std::size_t max_frame, Handler handler)
        : acceptor(io), max_frame(max_frame), handler(std::move(handler)) {}

    void accept_all() {
        while (acceptor.is_open()) {
            Tcp::socket socket(acceptor.get_executor());
            const auto result = await_io([&](auto done) { acceptor.async_accept(socket, std::move(done)); });
            if (!result.error) {
                auto stream = std::make_shared<Stream>(std::move(socket));
                EventLoop::spawn([self = shared_from_this(), stream] { self->serve(*stream); });
            }
        }
    }

    void serve(Stream& stream) {
        boost::system::error_code ignored;
        stream.socket().set_option(Tcp::no_delay(true), ignored);
        bool open = true;
        while (open) {
            std::string frame;
            stream.expires_after(kServerIdleTimeout);
            if (read_frame(stream, max_frame, frame)) {
                return;
            }
            const auto reply = handler(frame);
            stream.expires_after(kWriteTimeout);
            open = reply && !write_frame(stream, *reply);
        }
    }

    Tcp::acceptor acceptor;
    std::size_t max_frame;
    Handler handler;
};

FrameServer::FrameServer(boost::asio::io_context& io, std::size_t max_frame_bytes, Handler handler)
    : state_(std::make_shared<State>(io, max_frame_bytes, std::move(handler))) {}

FrameServer::~FrameServer() {
    stop();
}

std::error_code FrameServer::start(const Endpoint& endpoint) {
    const auto error = listen_on(state_->acceptor, endpoint);
    if (!error) {
        EventLoop::spawn([state = state_] { state->accept_all(); });
    }
    return error;
}

void FrameServer::stop() {
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
}

struct FrameClient::State {
    struct Idle {
        std::unique_ptr<Stream> stream;
        TimePoint since;
    };

    State(boost::asio::io_context& io, std::size_t max_frame) : io(io), max_frame(max_frame) {}

    /// Closes expired idle connections to all servers; without this, a daemon that contacts every member over
    /// days would accumulate connections.
    void remove_expired(TimePoint now) {
        if (now - last_reap < kReapPeriod) {
            return;
        }
        last_reap = now;
        for (auto& [server, pool] : idle) {
            std::erase_if(pool, [&](const Idle& entry) { return now - entry.since >= kClientIdleTimeout; });
        }
        std::erase_if(idle, [](const auto& entry) { return entry.second.empty(); });
    }

    std::unique_ptr<Stream> take_idle(const Endpoint& server) {
        auto& pool = idle[server];
        while (!pool.empty()) {
            Idle entry = std::move(pool.back());
            pool.pop_back();
            if (TimePoint::clock::now() - entry.since < kClientIdleTimeout) {
                return std::move(entry.stream);
            }
        }
        return nullptr;
    }

    std::unique_ptr<Stream> connect(const Endpoint& server, TimePoint deadline,
                                    boost::system::error_code& error) {
        auto stream = std::make_unique<Stream>(io);
        const auto address = boost::asio::ip::make_address(server.ip, error);
        stream->expires_at(on_steady_clock(deadline));
        if (!error) {
            error = await_io([&](auto handler) {
                        stream->async_connect(Tcp::endpoint(address, server.port), std::move(handler));
                    }).error;
        }
        if (!error) {
            stream->socket().set_option(Tcp::no_delay(true));
        }
        return stream;
    }

    void release(const Endpoint& server, std::unique_ptr<Stream> stream) {
        auto& pool = idle[server];
        stream->expires_never();
        if (pool.size() < kMaxIdlePerServer) {
            pool.push_back({std::move(stream), TimePoint::clock::now()});
        }
    }

    std::optional<std::string> try_exchange(Stream& stream, std::string_view frame, TimePoint deadline,
                                            boost::system::error_code& error) const {
        stream.expires_at(on_steady_clock(deadline));
        error = write_frame(stream, frame);
        std::string reply;
        if (!error) {
            error = read_frame(stream, max_frame, reply);
        }
        return error ? std::nullopt : std::optional(std::move(reply));
    }

    boost::asio::io_context& io;
    std::size_t max_frame;
    std::map<Endpoint, std::deque<Idle>> idle;
    TimePoint last_reap;
};

FrameClient::FrameClient(boost::asio::io_context& io, std::size_t max_frame_bytes)
    : state_(std::make_shared<State>(io, max_frame_bytes)) {}

FrameClient::~FrameClient() {
    state_->idle.clear();
}

std::optional<std::string> FrameClient::exchange(const Endpoint& server, std::string_view frame,
                                                 TimePoint deadline, std::error_code& error) {
    const auto state = state_;
    state->remove_expired(TimePoint::clock::now());
    boost::system::error_code io_error;
    if (auto kept = state->take_idle(server)) {
        if (auto reply = state->try_exchange(*kept, frame, deadline, io_error)) {
            state->release(server, std::move(kept));
            return reply;
        }
    }
    if (TimePoint::clock::now() >= deadline) {
        error = std::make_error_code(std::errc::timed_out);
        return std::nullopt;
    }
    io_error = {};
    auto stream = state->connect(server, deadline, io_error);
    std::optional<std::string> reply;
    if (!io_error) {
        reply = state->try_exchange(*stream, frame, deadline, io_error);
    }
    if (reply) {
        state->release(server, std::move(stream));
    }
    error = io_error;
    return reply;
}

}  // namespace anisehold::net
