/// @file
/// Early refusal of new root requests at the ingress, before any work is done for them.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// Client-side adaptive throttling (Beyer et al., Site Reliability Engineering, ch. 21) per table row:
/// refuses new roots with probability (requests - k * accepted) / requests over the last two seconds, where
/// a root counts as accepted unless it, or a call below it, was refused for overload. Pure.
class AdaptiveThrottle {
  public:
    /// Whether a new root of this row is refused. `random` is uniform in [0, 1).
    bool refuses(TimePoint now, const std::string& row, double random);
    /// Records how an admitted root ended.
    void on_result(TimePoint now, const std::string& row, bool refused_by_overload);
    /// Present probability of refusal for a row.
    double refusal_probability(TimePoint now, const std::string& row) const;

  private:
    static constexpr std::size_t kBuckets = 20;
    struct Bucket {
        std::int64_t tick = -1;
        unsigned requests = 0;
        unsigned accepted = 0;
    };
    using Window = std::array<Bucket, kBuckets>;

    Bucket& bucket(TimePoint now, const std::string& row);

    std::map<std::string, Window> windows_;
};

}  // namespace anisehold::admission
