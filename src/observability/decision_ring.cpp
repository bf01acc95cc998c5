#include "observability/decision_ring.hpp"

#include <algorithm>
#include <iterator>

namespace anisehold::observability {

std::string_view decision_step_name(DecisionStep step) {
    switch (step) {
        case DecisionStep::kReceived:
            return "received";
        case DecisionStep::kAccounted:
            return "accounted";
        case DecisionStep::kClaimed:
            return "claimed";
        case DecisionStep::kServerChosen:
            return "server-chosen";
        case DecisionStep::kQueued:
            return "queued";
        case DecisionStep::kDispatched:
            return "dispatched";
        case DecisionStep::kRetried:
            return "retried";
        case DecisionStep::kAnswered:
            return "answered";
        case DecisionStep::kRefused:
            return "refused";
    }
    return "unknown";
}

void DecisionRing::add(const std::string& request_id, const std::string& call_id, DecisionStep step,
                       std::string detail) {
    if (decisions_.size() == kCapacity) {
        decisions_.pop_front();
    }
    decisions_.push_back({std::chrono::system_clock::now(), request_id, call_id, step, std::move(detail)});
}

std::vector<Decision> DecisionRing::find(std::string_view request_id) const {
    std::vector<Decision> found;
    std::copy_if(decisions_.begin(), decisions_.end(), std::back_inserter(found),
                 [&](const Decision& decision) { return decision.request_id == request_id; });
    return found;
}

}  // namespace anisehold::observability
