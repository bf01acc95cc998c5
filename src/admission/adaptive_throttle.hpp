/// @file
/// Early refusal of new root requests at the ingress, before any work is done for them.
#pragma once

#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// Learns for each table row the share of new roots to refuse, so that few of those let through are refused
/// for overload further down. A root counts as refused if it, or a call below it, was. The share rises with
/// the refusals of each tenth of a second and falls by a fixed step without them, so that it is gone a second
/// after its cause. Pure.
class AdaptiveThrottle {
  public:
    /// Whether a new root of this row is refused. `random` is uniform in [0, 1).
    bool refuses(TimePoint now, const std::string& row, double random);
    /// Records how a root that was let through ended.
    void on_result(TimePoint now, const std::string& row, bool refused_by_overload);
    /// Present share of new roots of a row that are refused.
    double refusal_share(const std::string& row) const;

  private:
    struct Row {
        double share = 0;
        TimePoint window_started;
        unsigned ended = 0;
        unsigned refused = 0;
    };

    Row& advance(TimePoint now, const std::string& row);

    std::map<std::string, Row> rows_;
};

}  // namespace anisehold::admission
