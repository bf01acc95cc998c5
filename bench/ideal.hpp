/// @file
/// What the slots of a deployment could complete, if none were wasted.
#pragma once

#include <map>
#include <string>

#include "lab/deployment.hpp"

namespace anisehold::bench {

/// Slot-seconds that one request takes at each service, nested calls and the wait for them included.
using SlotDemand = std::map<std::string, double>;

/// Factors by which services are slowed; absent ones are 1.
using SlowFactors = std::map<std::string, double>;

SlotDemand slot_demand(const lab::Deployment& deployment, const lab::KindSpec& kind, const SlowFactors& slow);

/// Highest rate of the deployment's mix, in requests a second, that all services can serve.
double capacity_per_second(const lab::Deployment& deployment);

/// Most requests of each kind that can be completed out of `offered` (by kind) in `seconds`, the most
/// important kinds first. `live_servers` overrides the number of servers of a service.
std::map<std::string, double> ideal_completions(const lab::Deployment& deployment,
                                                const std::map<std::string, double>& offered, double seconds,
                                                const SlowFactors& slow);

}  // namespace anisehold::bench
