#include "routing/balancer.hpp"

namespace anisehold::routing {
namespace {

/// Load, as a multiple of the limit, from which calls wait in the local zone.
constexpr double kFullLoad = 1.0;
/// Minimum load difference that outweighs the longer path to another zone.
constexpr double kSpillAdvantage = 0.25;

std::optional<Candidate> less_loaded_of_two(const std::vector<Candidate>& candidates,
                                            std::mt19937_64& random) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto& first = candidates[random() % candidates.size()];
    const auto& second = candidates[random() % candidates.size()];
    return first.load <= second.load ? first : second;
}

}  // namespace

std::optional<Candidate> choose_server(const std::vector<Candidate>& candidates, const std::string& own_zone,
                                       std::mt19937_64& random) {
    std::vector<Candidate> own;
    std::vector<Candidate> others;
    for (const auto& candidate : candidates) {
        (candidate.zone == own_zone ? own : others).push_back(candidate);
    }
    auto local = less_loaded_of_two(own, random);
    if (local && local->load < kFullLoad) {
        return local;
    }
    auto remote = less_loaded_of_two(others, random);
    if (local && remote) {
        return remote->load + kSpillAdvantage < local->load ? remote : local;
    }
    return local ? local : remote;
}

}  // namespace anisehold::routing
