#include "admission/policy/aimd_limit.hpp"

#include <algorithm>

namespace anisehold::admission {
namespace {

/// Factor of a decrease, and the minimum time between two decreases: one overload shows in many samples.
constexpr double kCutShare = 0.85;
constexpr milliseconds kCutInterval{100};

}  // namespace

AimdLimit::AimdLimit(LimitBounds bounds)
    : bounds_(bounds), limit_(std::min(bounds.initial, bounds.ceiling)) {}

unsigned AimdLimit::limit() const {
    return std::max(1U, static_cast<unsigned>(limit_));
}

void AimdLimit::on_sample(TimePoint now, const Sample& sample) {
    switch (sample.outcome) {
        case SampleOutcome::kCompleted: {
            const bool in_use = sample.in_flight * 2 >= limit();
            if (in_use) {
                limit_ = std::min(limit_ + 1.0 / limit_, static_cast<double>(bounds_.ceiling));
            }
            break;
        }
        case SampleOutcome::kShed:
        case SampleOutcome::kTimeout:
            cut(now);
            break;
        case SampleOutcome::kIgnored:
            break;
    }
}

void AimdLimit::cut(TimePoint now) {
    if (now - last_cut_ < kCutInterval) {
        return;
    }
    last_cut_ = now;
    limit_ = std::max(1.0, limit_ * kCutShare);
}

}  // namespace anisehold::admission
