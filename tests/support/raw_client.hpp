/// @file
/// A client that sends any bytes over a connection of its own, on a thread of its own.
#pragma once

#include <cstddef>
#include <string>

#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::testing {

struct RawRequest {
    std::string bytes;
    std::string repeated{};  ///< Sent again and again after `bytes`, even after the peer has stopped sending.
    milliseconds interval{0};  ///< Pause before each repetition.
    milliseconds patience{5'000};
};

struct RawResponse {
    std::string beginning;  ///< The first bytes received, up to a few kilobytes.
    std::string ending;     ///< The last few bytes received.
    std::size_t bytes_received = 0;
    std::size_t bytes_sent = 0;
    bool closed = false;  ///< Whether the peer ended the connection within the patience.
    milliseconds elapsed{0};

    bool begins_with(const std::string& text) const { return beginning.rfind(text, 0) == 0; }
};

/// Sends the request, and receives until the peer closes or the patience ends. Blocks its fiber, not the
/// thread.
RawResponse exchange_raw(const Endpoint& server, const RawRequest& request);

}  // namespace anisehold::testing
