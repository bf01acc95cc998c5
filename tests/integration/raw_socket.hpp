/// @file
/// Sends raw bytes, for tests of bad input.
#pragma once

#include <string>

#include "protocol/endpoint.hpp"

namespace anisehold::testing {

/// Sends `bytes` over TCP and returns the bytes received until the peer closes or sends nothing for a second.
/// With `stay_open` the sending side is not closed, as with a slow sender.
std::string raw_exchange(const Endpoint& server, const std::string& bytes, bool stay_open = false);

/// Sends one datagram.
void send_datagram(const Endpoint& server, const std::string& bytes);

}  // namespace anisehold::testing
