#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "net/await_io.hpp"
#include "net/event_loop.hpp"
#include "net/udp_socket.hpp"

namespace anisehold::net {
namespace {

using Udp = boost::asio::ip::udp;
/// Maximum size of a UDP datagram.
constexpr std::size_t kMaxDatagramBytes = 64 * 1024;

}  // namespace

struct UdpSocket::State {
    explicit State(boost::asio::io_context& io) : socket(io) {}

    void receive_all() {
        while (socket.is_open()) {
            Udp::endpoint from;
            const auto result = await_io([&](auto handler) {
                socket.async_receive_from(boost::asio::buffer(buffer), from, std::move(handler));
            });
            if (!result.error) {
                receiver({from.address().to_string(), from.port()}, {buffer.data(), result.bytes});
            }
        }
    }

    Udp::socket socket;
    Receiver receiver;
    std::array<char, kMaxDatagramBytes> buffer{};
};

UdpSocket::UdpSocket(boost::asio::io_context& io) : state_(std::make_shared<State>(io)) {}

UdpSocket::~UdpSocket() {
    close();
}

std::error_code UdpSocket::start(const Endpoint& endpoint, Receiver receiver) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.ip, error);
    const Udp::endpoint bind_to(address, endpoint.port);
    if (!error) {
        state_->socket.open(bind_to.protocol(), error);
    }
    if (!error) {
        state_->socket.bind(bind_to, error);
    }
    if (!error) {
        state_->socket.non_blocking(true, error);
    }
    if (error) {
        return error;
    }
    state_->receiver = std::move(receiver);
    EventLoop::spawn([state = state_] { state->receive_all(); });
    return {};
}

void UdpSocket::send(const Endpoint& to, std::string_view bytes) {
    boost::system::error_code ignored;
    const auto address = boost::asio::ip::make_address(to.ip, ignored);
    state_->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), Udp::endpoint(address, to.port),
                           0, ignored);
}

void UdpSocket::close() {
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

}  // namespace anisehold::net
