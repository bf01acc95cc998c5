/// @file
/// Sends bytes as they are, for tests of bad input.
#pragma once

#include <string>

#include "protocol/endpoint.hpp"

namespace anisehold::testing {

/// Sends `bytes` over TCP and returns what comes back until the peer closes or falls silent for a second.
/// With `stay_open` the sending side isn't closed, as by a slow sender.
std::string raw_exchange(const Endpoint& server, const std::string& bytes, bool stay_open = false);

/// Sends one datagram.
void send_datagram(const Endpoint& server, const std::string& bytes);

}  // namespace anisehold::testing
