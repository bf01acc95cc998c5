/// @file
/// A limit that follows the ratio of unloaded to present latency, so that it also sees queues inside the
/// server.
#pragma once

#include "admission/concurrency_limit.hpp"
#include "admission/policy/overload_cut.hpp"

namespace anisehold::admission {

/// Compares a short average of own latency with the least average seen lately. While the ratio is near 1
/// the limit grows by a small allowance; as latency rises it shrinks in proportion. Sheds and time-outs cut
/// it as in AIMD.
class GradientLimit final : public ConcurrencyLimit {
  public:
    explicit GradientLimit(LimitBounds bounds);
    unsigned limit() const override;
    void on_sample(TimePoint now, const Sample& sample) override;

  private:
    void on_completed(TimePoint now, const Sample& sample);
    void end_window(TimePoint now);

    LimitBounds bounds_;
    double limit_;
    double window_latency_sum_us_ = 0;
    unsigned window_samples_ = 0;
    unsigned window_max_in_flight_ = 0;
    double baseline_us_ = 0;  // Least window average, raised slowly so that a changed server is relearned.
    TimePoint window_started_;
    OverloadCut cut_;
};

}  // namespace anisehold::admission
