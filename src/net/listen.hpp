/// @file
/// Opens listening TCP sockets. Included only where Asio is.
#pragma once

#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <boost/asio/ip/tcp.hpp>

#include "protocol/endpoint.hpp"

namespace anisehold::net {

/// Opens, binds and starts listening; stops at the first step that fails.
inline boost::system::error_code listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                                           const Endpoint& endpoint) {
    using Tcp = boost::asio::ip::tcp;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.ip, error);
    const Tcp::endpoint bind_to(address, endpoint.port);
    if (!error) {
        acceptor.open(bind_to.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(bind_to, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    return error;
}

}  // namespace anisehold::net
