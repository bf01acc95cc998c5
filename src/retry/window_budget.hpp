/// @file
/// Repeats as a share of requests within a sliding window, divided among the daemons of a fleet.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::retry {

/// Bounds of the fleet's repeats at each service.
struct WindowBudgetTerms {
    double ratio = 0.2;  ///< Repeats per request in each window.
    double extra = 0;    ///< Repeats allowed beyond, over the whole fleet.
    milliseconds window{10'000};
    /// Share of the bound that is spent; the rest covers calls that repeated runs make, which are repeats too.
    double spent_share = 0.5;
};

/// This daemon's part of the fleet's budget: the ratio of its own requests, and an equal share of the extra.
/// All parts together stay within the bound without any message between daemons. A new process starts
/// without the extra, since its predecessor may have spent that in the same window. Pure.
class WindowBudget {
  public:
    WindowBudget(WindowBudgetTerms terms, TimePoint started) : terms_(terms), started_(started) {}

    void on_request(TimePoint now, const std::string& service);
    /// Takes one repeat; false if the budget has none left. `members` is the number of daemons in the fleet.
    bool try_repeat(TimePoint now, const std::string& service, std::size_t members);

    void set_terms(const WindowBudgetTerms& terms) { terms_ = terms; }

  private:
    struct Counts {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };

    void drop_old(TimePoint now, Counts& counts) const;

    WindowBudgetTerms terms_;
    TimePoint started_;
    std::map<std::string, Counts> services_;
};

}  // namespace anisehold::retry
