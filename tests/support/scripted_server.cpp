#include "tests/support/scripted_server.hpp"

#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <optional>

#include "net/await_io.hpp"
#include "net/event_loop.hpp"
#include "net/listen.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::testing {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Delay of `Reaction::bytes_soon`.
constexpr milliseconds kSoon{3};
/// Maximum time for which `Reaction::repeated` is sent.
constexpr seconds kRepeatTime{10};

bool send_bytes(Tcp::socket& socket, const std::string& bytes) {
    return !net::await_io([&](auto handler) {
                boost::asio::async_write(socket, boost::asio::buffer(bytes), std::move(handler));
            }).error;
}

void send_repeatedly(Tcp::socket& socket, const std::string& bytes) {
    const auto end = TimePoint::clock::now() + kRepeatTime;
    while (TimePoint::clock::now() < end && send_bytes(socket, bytes)) {
        boost::this_fiber::yield();
    }
}

std::string field_of(const std::string& head, const std::string& name) {
    const auto begin = head.find(name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const auto value = begin + name.size() + 2;
    return head.substr(value, head.find("\r\n", value) - value);
}

/// Returns the id of the next request; nothing at the end of the connection.
std::optional<std::string> read_request(Tcp::socket& socket, std::string& received) {
    const auto head = net::await_io([&](auto handler) {
        boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n",
                                      std::move(handler));
    });
    if (head.error) {
        return std::nullopt;
    }
    const auto text = received.substr(0, head.bytes);
    received.erase(0, head.bytes);
    const auto length = std::stoul("0" + field_of(text, "Content-Length"));
    if (received.size() < length) {
        const auto body = net::await_io([&](auto handler) {
            boost::asio::async_read(socket, boost::asio::dynamic_buffer(received),
                                    boost::asio::transfer_exactly(length - received.size()),
                                    std::move(handler));
        });
        if (body.error) {
            return std::nullopt;
        }
    }
    received.erase(0, length);
    return field_of(text, "Request-Id");
}

}  // namespace

struct ScriptedServer::State {
    State(ScriptedServer& server_to_use, boost::asio::io_context& io_to_use)
        : server(server_to_use), io(io_to_use), acceptor(io_to_use) {}

    void accept_all() {
        while (acceptor.is_open()) {
            const auto socket = std::make_shared<Tcp::socket>(io);
            const auto accepted =
                net::await_io([&](auto handler) { acceptor.async_accept(*socket, std::move(handler)); });
            if (!accepted.error) {
                net::EventLoop::spawn([this, socket] { serve(*socket); });
            }
        }
    }

    void serve(Tcp::socket& socket) {
        std::string received;
        std::string copy;
        bool is_open = true;
        while (is_open) {
            const auto id = read_request(socket, received);
            if (!id) {
                return;
            }
            const auto reaction = server.script(*id, ++arrivals[*id]);
            server.runs[*id] += reaction.runs ? 1 : 0;
            send_bytes(socket, std::exchange(copy, reaction.copy) + reaction.bytes);
            if (!reaction.bytes_soon.empty()) {
                boost::this_fiber::sleep_for(kSoon);
                send_bytes(socket, reaction.bytes_soon);
            }
            if (!reaction.repeated.empty()) {
                send_repeatedly(socket, reaction.repeated);
            }
            is_open = !reaction.closes_after;
        }
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    ScriptedServer& server;
    boost::asio::io_context& io;
    Tcp::acceptor acceptor;
    std::map<std::string, unsigned> arrivals;
};

ScriptedServer::ScriptedServer(boost::asio::io_context& io) : state_(std::make_unique<State>(*this, io)) {}

ScriptedServer::~ScriptedServer() = default;

std::error_code ScriptedServer::start(const Endpoint& listen) {
    if (const auto error = net::listen_on(state_->acceptor, listen)) {
        return error;
    }
    net::EventLoop::spawn([state = state_.get()] { state->accept_all(); });
    return {};
}

}  // namespace anisehold::testing
