/// @file
/// A UDP socket for fibers. Datagrams may be lost; the caller defines their content.
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

/// Receives datagrams on its own fiber, and sends without waiting.
class UdpSocket {
  public:
    using Receiver = std::function<void(const Endpoint& from, std::string_view bytes)>;

    explicit UdpSocket(boost::asio::io_context& io);
    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    /// Binds and starts receiving; returns the system's error on failure. The receiver must not block its
    /// fiber.
    std::error_code start(const Endpoint& endpoint, Receiver receiver);
    /// Sends immediately; a datagram that the system can't accept is dropped.
    void send(const Endpoint& to, std::string_view bytes);
    void close();

  private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace anisehold::net
