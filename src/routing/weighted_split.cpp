#include "routing/weighted_split.hpp"

#include <algorithm>

namespace anisehold::routing {
namespace {

double total_weight(const std::vector<WeightedService>& parts) {
    double total = 0;
    for (const auto& part : parts) {
        total += part.weight;
    }
    return total;
}

}  // namespace

std::string WeightedSplit::next(const HostRoute& route, double first_draw) {
    const double total = total_weight(route.parts);
    if (total <= 0) {
        return {};
    }
    auto& cycle = cycles_[route.name];
    if (cycle.parts != route.parts) {
        cycle.parts = route.parts;
        cycle.credits.assign(route.parts.size(), 0.0);
        // The credits of a cycle sum up to zero; moving credit between the first and the last part shifts the
        // start of the cycle.
        cycle.credits.front() += total * (first_draw - 0.5);
        cycle.credits.back() -= total * (first_draw - 0.5);
    }
    for (std::size_t index = 0; index < cycle.parts.size(); ++index) {
        cycle.credits[index] += cycle.parts[index].weight;
    }
    const auto chosen = std::max_element(cycle.credits.begin(), cycle.credits.end());
    *chosen -= total;
    return cycle.parts[static_cast<std::size_t>(chosen - cycle.credits.begin())].service;
}

}  // namespace anisehold::routing
