/// @file
/// Many clients that send any bytes, on one thread of their own.
#pragma once

#include <cstddef>
#include <string>

#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::testing {

struct CrowdPlan {
    std::size_t connections = 100;
    std::string bytes{};     ///< Sent at the start of each connection.
    std::string repeated{};  ///< Sent again and again after `bytes`.
    bool reads = true;       ///< Whether responses are read.
    bool aborts = false;     ///< Each connection is closed as soon as `bytes` have been sent.
    /// Number of connections that each client opens, one after the other; 0: any number.
    std::size_t rounds = 0;
    milliseconds duration{3'000};
};

struct CrowdResult {
    std::size_t opened = 0;  ///< Connections that were established.
    std::size_t bytes_sent = 0;
    std::size_t bytes_received = 0;
};

/// Runs the crowd against `server` for its duration, or until every client has opened its connections, and
/// closes what is open then. Blocks its thread.
CrowdResult run_crowd(const Endpoint& server, const CrowdPlan& plan);

}  // namespace anisehold::testing
