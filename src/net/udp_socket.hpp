/// @file
/// A UDP socket for fibers. Datagrams may be lost on any way; what they hold is the caller's.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "protocol/endpoint.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::net {

/// Receives datagrams on a fiber of its own and sends without waiting.
class UdpSocket {
  public:
    using Receiver = std::function<void(const Endpoint& from, std::string_view bytes)>;

    explicit UdpSocket(boost::asio::io_context& io);
    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    /// Binds and starts receiving; the error is the system's. The receiver must not block its fiber.
    std::error_code start(const Endpoint& endpoint, Receiver receiver);
    /// Sends at once; a datagram that the system can't take is dropped.
    void send(const Endpoint& to, std::string_view bytes);
    void close();

  private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace anisehold::net
