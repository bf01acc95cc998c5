/// @file
/// Finds out whether anybody listens at an address, by a connection that carries nothing.
#pragma once

#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::net {

/// Whether the machine at `address` answers that nobody listens there. False if a connection comes up, which
/// is closed at once, and if there is no answer before `deadline`. Blocks the fiber.
bool refuses_connections(boost::asio::io_context& io, const Endpoint& address, TimePoint deadline);

}  // namespace anisehold::net
