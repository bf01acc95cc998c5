/// @file
/// Additive increase, multiplicative decrease on the server's own sheds and on time-outs.
#pragma once

#include "admission/concurrency_limit.hpp"
#include "admission/policy/overload_cut.hpp"

namespace anisehold::admission {

/// Raises the limit by about one per limit's worth of completed calls while it is in use, and cuts it when
/// the server sheds. Blind to queues inside the server.
class AimdLimit final : public ConcurrencyLimit {
  public:
    explicit AimdLimit(LimitBounds bounds);
    unsigned limit() const override;
    void on_sample(TimePoint now, const Sample& sample) override;

  private:
    LimitBounds bounds_;
    double limit_;
    OverloadCut cut_;
};

}  // namespace anisehold::admission
