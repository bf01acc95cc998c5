#include "admission/policy/aimd_limit.hpp"

#include <algorithm>

namespace anisehold::admission {

AimdLimit::AimdLimit(LimitBounds bounds)
    : bounds_(bounds), limit_(std::min(bounds.initial, bounds.ceiling)) {}

unsigned AimdLimit::limit() const {
    return std::max(1U, static_cast<unsigned>(limit_));
}

void AimdLimit::on_sample(TimePoint now, const Sample& sample) {
    if (sample.outcome == SampleOutcome::kCompleted) {
        const bool in_use = sample.in_flight * 2 >= limit();
        if (in_use) {
            limit_ = std::min(limit_ + 1.0 / limit_, static_cast<double>(bounds_.ceiling));
        }
        return;
    }
    limit_ = cut_.apply(now, sample.outcome, limit_);
}

}  // namespace anisehold::admission
