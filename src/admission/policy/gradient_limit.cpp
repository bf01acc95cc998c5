#include "admission/policy/gradient_limit.hpp"

#include <algorithm>
#include <cmath>

namespace anisehold::admission {
namespace {

constexpr milliseconds kWindow{100};
constexpr unsigned kLeastSamples = 8;
/// Latency may rise by this factor over the baseline before the limit shrinks.
constexpr double kTolerance = 1.5;
constexpr double kLeastGradient = 0.7;
constexpr double kSmoothing = 0.5;
/// Per window; the baseline doubles in about five minutes if nothing faster is seen.
constexpr double kBaselineDrift = 1.00023;

}  // namespace

GradientLimit::GradientLimit(LimitBounds bounds)
    : bounds_(bounds), limit_(std::min(bounds.initial, bounds.ceiling)) {}

unsigned GradientLimit::limit() const {
    return std::max(1U, static_cast<unsigned>(std::lround(limit_)));
}

void GradientLimit::on_sample(TimePoint now, const Sample& sample) {
    if (sample.outcome == SampleOutcome::kCompleted) {
        on_completed(now, sample);
        return;
    }
    limit_ = cut_.apply(now, sample.outcome, limit_);
}

void GradientLimit::on_completed(TimePoint now, const Sample& sample) {
    window_latency_sum_us_ +=
        static_cast<double>(std::chrono::duration_cast<microseconds>(sample.latency).count());
    ++window_samples_;
    window_max_in_flight_ = std::max(window_max_in_flight_, sample.in_flight);
    if (window_samples_ >= kLeastSamples && now - window_started_ >= kWindow) {
        end_window(now);
    }
}

void GradientLimit::end_window(TimePoint now) {
    const double average_us = std::max(1.0, window_latency_sum_us_ / window_samples_);
    baseline_us_ = baseline_us_ == 0 ? average_us : std::min(baseline_us_ * kBaselineDrift, average_us);
    const double gradient = std::clamp(kTolerance * baseline_us_ / average_us, kLeastGradient, 1.0);
    const bool in_use = window_max_in_flight_ * 2 >= limit();
    const double allowance = in_use ? std::sqrt(limit_) / 2 : 0.0;
    const double target = limit_ * gradient + allowance;
    limit_ = std::clamp(limit_ + kSmoothing * (target - limit_), 1.0, static_cast<double>(bounds_.ceiling));
    window_latency_sum_us_ = 0;
    window_samples_ = 0;
    window_max_in_flight_ = 0;
    window_started_ = now;
}

}  // namespace anisehold::admission
