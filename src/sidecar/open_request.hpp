/// @file
/// Describes a request in progress, for the log of a planned stop.
#pragma once

#include <string>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::sidecar {

/// A request in progress at one moment.
struct OpenRequest {
    std::string id;        ///< As given by the client.
    std::string service;   ///< Empty at the gate.
    std::string server;    ///< Instance of the latest attempt; empty while there is none.
    Duration elapsed{};    ///< Since its arrival at this place.
    bool is_sent = false;  ///< Whether something may have been sent to a server or to its gate.
};

using OpenRequests = std::vector<OpenRequest>;

}  // namespace anisehold::sidecar
