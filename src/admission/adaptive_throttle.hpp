/// @file
/// Early refusal of new root requests at the ingress, before any work is done for them.
#pragma once

#include <map>
#include <set>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// What the throttle needs to know of a root request.
struct ThrottledRow {
    std::string name;       ///< Table row.
    unsigned priority = 0;  ///< 0 is the most important.
};

/// How fast the throttle follows what it sees.
struct ThrottleOptions {
    milliseconds window{100};    ///< A verdict is given once in this time.
    unsigned least_samples = 1;  ///< A window with fewer results goes on, ten times its length at most.
    double fall = 0.25;  ///< Of the level per window when all are refused, as a share of all priorities.
    double rise = 0.1;   ///< Of the level per window without more refusals than tolerated, as a share of all.
    /// The rise doubles after this many windows in a row without any refusal, and goes on growing; 0: never.
    /// A slow rise keeps refusals few while the cause lasts, and a growing one ends soon after it.
    unsigned clean_windows_to_double = 0;
};

/// Learns, for each service that refuses calls for overload, down to which priority new roots that reach it
/// are worth letting through. The level of a service falls while more of those let through are refused there
/// than is tolerated, and rises by a fixed step while not, so that it is gone a second after its cause. Which
/// rows reach a service is learned from refusals. A row is refused only when all less important rows that
/// reach the same service are. Pure.
class AdaptiveThrottle {
  public:
    explicit AdaptiveThrottle(ThrottleOptions options = {}) : options_(options) {}

    /// Whether a new root of this row is refused. `random` is uniform in [0, 1).
    bool refuses(TimePoint now, const ThrottledRow& row, double random);
    /// Records how a root that was let through ended; `overloaded_service` is empty if it wasn't refused.
    void on_result(TimePoint now, const ThrottledRow& row, const std::string& overloaded_service);
    /// Present share of new roots of a row that are refused.
    double refusal_share(const ThrottledRow& row) const;

  private:
    struct Service {
        std::set<std::string> rows;     ///< Those that were refused by it.
        std::set<unsigned> priorities;  ///< Of those rows.
        double level = 0;               ///< Number of priorities let through; the last one in part.
        TimePoint window_started;
        unsigned ended = 0;
        unsigned refused = 0;
        unsigned clean_windows = 0;  ///< In a row, without any refusal.

        double share_let_through(unsigned priority) const;
    };

    void advance(TimePoint now, Service& service) const;
    double rise_of(const Service& service) const;

    ThrottleOptions options_;
    std::map<std::string, Service> services_;
};

}  // namespace anisehold::admission
