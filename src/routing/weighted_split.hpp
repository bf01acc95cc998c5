/// @file
/// Distributes a route's requests among services by weight, in the sidecar. Owns the position in each route's
/// cycle; relies on the configuration for the weights.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/configuration.hpp"

namespace anisehold::routing {

/// Smooth weighted round robin with one state per route: each part gets its exact share over a cycle, and
/// parts alternate as evenly as their weights allow. Pure.
class WeightedSplit {
  public:
    /// Returns the service for the next request of `route`; empty if no part has a weight. `first_draw` in
    /// [0, 1) sets the start of a new cycle, so that daemons are not synchronized.
    std::string next(const HostRoute& route, double first_draw);

  private:
    struct Cycle {
        std::vector<WeightedService> parts;  ///< Parts of the configuration that the credits belong to.
        std::vector<double> credits;
    };

    std::map<std::string, Cycle> cycles_;
};

}  // namespace anisehold::routing
