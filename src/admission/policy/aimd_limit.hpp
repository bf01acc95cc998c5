/// @file
/// Concurrency limit with additive increase, and multiplicative decrease when the server sheds calls or a
/// call times out.
#pragma once

#include "admission/concurrency_limit.hpp"

namespace anisehold::admission {

/// Bounds of a learned limit, in calls in flight.
struct LimitBounds {
    unsigned initial = 1;
    unsigned ceiling = 1;
};

/// Raises the limit by about one for each limit's worth of completed calls while at least half of the limit
/// is in use, and reduces it when the server sheds calls or times out. Does not detect queues inside the
/// server.
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
