#include "routing/balancer.hpp"

namespace anisehold::routing {
namespace {

/// Load, as a multiple of the limit, from which on calls would wait in the own zone.
constexpr double kFullLoad = 1.0;
/// Another zone must be less loaded by this much to be worth the longer way. Chosen, not measured.
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
    auto near = less_loaded_of_two(own, random);
    if (near && near->load < kFullLoad) {
        return near;
    }
    auto far = less_loaded_of_two(others, random);
    if (near && far) {
        return far->load + kSpillAdvantage < near->load ? far : near;
    }
    return near ? near : far;
}

}  // namespace anisehold::routing
