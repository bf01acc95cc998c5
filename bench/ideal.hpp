/// @file
/// What the slots of a deployment could complete, if none were wasted.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/deployment.hpp"

namespace anisehold::bench {

/// Slot-seconds that one request takes at each service, nested calls and the wait for them included.
using SlotDemand = std::map<std::string, double>;

/// Factors by which services are slowed; absent ones are 1.
using SlowFactors = std::map<std::string, double>;

SlotDemand slot_demand(const lab::Deployment& deployment, const lab::KindSpec& kind, const SlowFactors& slow);

/// Highest rate of the deployment's mix, in requests a second, that all services can serve.
double capacity_per_second(const lab::Deployment& deployment);

/// Requests of each kind that arrive in one interval, and what the slots are like in it.
struct IdealInterval {
    std::map<std::string, double> offered;  ///< By kind.
    SlowFactors slow;
};

/// Most requests of each kind that could be completed, by interval of arrival: slots are never wasted, the
/// most important kinds go first, and a request waits for its slots up to `patience` intervals.
std::vector<std::map<std::string, double>> ideal_completions(const lab::Deployment& deployment,
                                                             const std::vector<IdealInterval>& intervals,
                                                             double interval_seconds, std::size_t patience);

}  // namespace anisehold::bench
