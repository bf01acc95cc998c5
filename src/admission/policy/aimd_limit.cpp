#include "admission/policy/aimd_limit.hpp"

#include <algorithm>

namespace anisehold::admission {
namespace {

constexpr double kCut = 0.85;
/// One overload shows in many samples; it is answered by one cut in this time.
constexpr milliseconds kCutInterval{100};

}  // namespace

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
    const bool overloaded =
        sample.outcome == SampleOutcome::kShed || sample.outcome == SampleOutcome::kTimeout;
    if (overloaded && now - last_cut_ >= kCutInterval) {
        last_cut_ = now;
        limit_ = std::max(1.0, limit_ * kCut);
    }
}

}  // namespace anisehold::admission
