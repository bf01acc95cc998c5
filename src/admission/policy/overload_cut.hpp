/// @file
/// The cut of a limit on a sign of overload, shared by the strategies.
#pragma once

#include <algorithm>

#include "admission/concurrency_limit.hpp"

namespace anisehold::admission {

/// Cuts a limit by a fixed share, at most once in an interval: one overload shows in many samples.
class OverloadCut {
  public:
    /// The limit after a sample that isn't of a completed call.
    double apply(TimePoint now, SampleOutcome outcome, double limit) {
        const bool overloaded = outcome == SampleOutcome::kShed || outcome == SampleOutcome::kTimeout;
        if (!overloaded || now - last_cut_ < kInterval) {
            return limit;
        }
        last_cut_ = now;
        return std::max(1.0, limit * kShare);
    }

  private:
    static constexpr double kShare = 0.85;
    static constexpr milliseconds kInterval{100};

    TimePoint last_cut_;
};

}  // namespace anisehold::admission
