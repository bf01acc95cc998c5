/// @file
/// Early refusal of new root requests at the ingress of `anisehold serve`, before any work is done for them.
/// The sidecar has the limit of root requests for it (overload/root_limit.hpp), which counts the whole
/// fleet's.
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

/// Learns, for each service that refuses calls for overload, down to which priority new roots that reach it
/// are admitted. The number of admitted priorities falls while more of the admitted roots are refused there
/// than is tolerated, and rises by a fixed step while not, so that the limit is gone a second after its
/// cause. Which rows reach a service is learned from refusals. A row is refused only when all less important
/// rows that reach the same service are. Pure.
class AdaptiveThrottle {
  public:
    /// Whether a new root of this row is refused. `random` is uniform in [0, 1).
    bool refuses(TimePoint now, const ThrottledRow& row, double random);
    /// Records how an admitted root ended; `overloaded_service` is empty if it wasn't refused.
    void on_result(TimePoint now, const ThrottledRow& row, const std::string& overloaded_service);
    /// Present share of new roots of a row that are refused.
    double refusal_share(const ThrottledRow& row) const;

  private:
    struct Service {
        std::set<std::string> rows;      ///< Those that were refused by it.
        std::set<unsigned> priorities;   ///< Of those rows.
        double admitted_priorities = 0;  ///< Number of them; the last one in part.
        TimePoint window_started;
        unsigned ended = 0;
        unsigned refused = 0;

        double admitted_share(unsigned priority) const;
    };

    static void advance(TimePoint now, Service& service);

    std::map<std::string, Service> services_;
};

}  // namespace anisehold::admission
