/// @file
/// A constant concurrency limit.
#pragma once

#include "admission/concurrency_limit.hpp"

namespace anisehold::admission {

/// Used where learning is switched off (mechanism gate-limit).
class FixedLimit final : public ConcurrencyLimit {
  public:
    explicit FixedLimit(unsigned limit) : limit_(limit) {}
    unsigned limit() const override { return limit_; }
    void on_sample(TimePoint /*now*/, const Sample& /*sample*/) override {}

  private:
    unsigned limit_;
};

}  // namespace anisehold::admission
