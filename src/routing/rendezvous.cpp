#include "routing/rendezvous.hpp"

#include <algorithm>
#include <numeric>

#include "protocol/message_digest.hpp"

namespace anisehold::routing {

std::uint64_t rendezvous_score(std::string_view candidate, std::string_view key) {
    return digest64(candidate, digest64(key));
}

std::vector<std::size_t> rendezvous_order(const std::vector<std::string>& candidates, std::string_view key) {
    std::vector<std::uint64_t> scores;
    scores.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        scores.push_back(rendezvous_score(candidate, key));
    }
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return scores[left] != scores[right] ? scores[left] > scores[right]
                                             : candidates[left] < candidates[right];
    });
    return order;
}

}  // namespace anisehold::routing
