/// @file
/// Additive increase, multiplicative decrease on the server's own sheds and on time-outs.
#pragma once

#include "admission/concurrency_limit.hpp"

namespace anisehold::admission {

/// Bounds of a learned limit, in calls in flight.
struct LimitBounds {
    unsigned initial = 1;
    unsigned ceiling = 1;
};

/// Raises the limit by about one per limit's worth of completed calls while it is in use, and cuts it when
/// the server sheds. Blind to queues inside the server.
class AimdLimit final : public ConcurrencyLimit {
  public:
    explicit AimdLimit(LimitBounds bounds);
    unsigned limit() const override;
    void on_sample(TimePoint now, const Sample& sample) override;

  private:
    void cut(TimePoint now);

    LimitBounds bounds_;
    double limit_;
    TimePoint last_cut_;
};

}  // namespace anisehold::admission
