/// @file
/// Checks whether a process listens at an address, with a connection that carries no data.
#pragma once

#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::net {

/// Returns true if the machine at `address` refuses the connection because no process listens there. Returns
/// false if the connection succeeds (it is closed at once), and if there is no reply before `deadline`.
/// Blocks the fiber.
bool refuses_connections(boost::asio::io_context& io, const Endpoint& address, TimePoint deadline);

}  // namespace anisehold::net
