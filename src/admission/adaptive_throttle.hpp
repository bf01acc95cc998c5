/// @file
/// Early rejection of new root requests at the ingress of `anisehold serve`, before any work is done for
/// them. Owns the admission state of each overloaded service. Relies on its caller for the clock, for random
/// numbers and for the result of each admitted request. The sidecar uses the fleet-wide limit of root
/// requests instead (overload/root_limit.hpp).
#pragma once

#include <map>
#include <set>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::admission {

/// The properties of a root request that the throttle uses.
struct ThrottledRow {
    std::string name;       ///< Table row.
    unsigned priority = 0;  ///< 0 is the most important.
};

/// Limits, for each service that rejects calls for overload, the new root requests that reach the service, by
/// priority. The number of admitted priorities falls while the share of admitted requests that the service
/// rejects exceeds a tolerated share, and rises by a fixed step otherwise, so that the limit ends within a
/// second after its cause. Rejections show which rows reach a service. A row is only rejected once all less
/// important rows that reach the same service are. Pure.
class AdaptiveThrottle {
  public:
    /// Whether to reject a new root request of the row. `random` is uniform in [0, 1).
    bool refuses(TimePoint now, const ThrottledRow& row, double random);
    /// Records the end of an admitted root request; `overloaded_service` is empty if no service rejected it.
    void on_result(TimePoint now, const ThrottledRow& row, const std::string& overloaded_service);
    /// Current share of new root requests of the row that are rejected.
    double refusal_share(const ThrottledRow& row) const;

  private:
    struct Service {
        std::set<std::string> rows;      ///< Rows with requests that the service rejected.
        std::set<unsigned> priorities;   ///< Priorities of `rows`.
        double admitted_priorities = 0;  ///< Admitted entries of `priorities`; the last one in part.
        TimePoint window_started;
        unsigned ended = 0;
        unsigned refused = 0;

        double admitted_share(unsigned priority) const;
    };

    static void advance(TimePoint now, Service& service);

    std::map<std::string, Service> services_;
};

}  // namespace anisehold::admission
