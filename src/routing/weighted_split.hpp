/// @file
/// Division of a route's requests among services by weight, in the sidecar. Owns the position in each route's
/// cycle; relies on the configuration for the weights.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/configuration.hpp"

namespace anisehold::routing {

/// Smooth weighted round robin, one state a route: every part gets its share exactly over a cycle, and parts
/// alternate as evenly as their weights allow. Pure.
class WeightedSplit {
  public:
    /// The service that the next request of `route` goes to; empty when no part has a weight.
    /// `first_draw` in [0, 1) places the start of a new cycle, so that daemons don't go in step.
    std::string next(const HostRoute& route, double first_draw);

  private:
    struct Cycle {
        std::vector<WeightedService> parts;  ///< As of the configuration that the credits belong to.
        std::vector<double> credits;
    };

    std::map<std::string, Cycle> cycles_;
};

}  // namespace anisehold::routing
