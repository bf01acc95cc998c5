/// @file
/// Retries as a share of requests within a sliding window, divided among the daemons of a fleet.
///
/// The operators' bound holds for the fleet at each service; settings bring its ratio, extra and window.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::retry {

/// Why a request is sent again; the less certain the use, the smaller the part of the budget.
enum class RetryReason {
    kNoAnswer,      ///< The attempt ended without an answer, or the server declined it.
    kFailedAnswer,  ///< The server answered that it failed; often something below it did.
    kSlow,          ///< The attempt takes long; it may still be answered.
};

/// Bounds of the fleet's retries at each service.
struct WindowBudgetTerms {
    double ratio = 0.2;  ///< Retries per request in each window.
    double extra = 0;    ///< Retries allowed beyond, over the whole fleet.
    milliseconds window{10'000};
    /// Share of the bound that is spent on attempts without an answer. The rest covers the estimate of which
    /// calls are made by retried runs. Worth of four days, one play each, with 0.3 at each level and with
    /// this and calls of retried runs counted: 0.374 and 0.420, 0.619 and 0.629, 0.731 and 0.742, 0.624 and
    /// 0.603 (docs/design/tenants.md).
    double no_answer_share = 0.85;
    /// Share beyond which nothing is spent on failed answers and slow attempts. Chosen, not measured.
    double doubtful_share = 0.1;
    /// Share of the ratio's part of the bound that may be saved up and spent at once. With `no_answer_share`
    /// it leaves 0.05 of the bound for the calls of runs that outlast their daemon. Chosen, not measured.
    double burst_share = 0.1;
};

/// This daemon's part of the fleet's budget: the ratio of its own requests, and an equal share of the extra.
/// All parts together stay within the bound without any message between daemons.
///
/// A new process doesn't know what its predecessor spent in the window that has begun. So the predecessor
/// must not have spent ahead: retries of the ratio are spent as they are earned by requests, and only a
/// little is saved up. Whenever a process is killed, what it spent and what its successor earns are then
/// within the bound together. In a model of 13 daemons that are killed while half of all attempts are
/// declined, up to 1.41 of the bound was used when whole windows were saved up, and up to 0.92 so; without
/// kills 0.85 both ways (docs/design/capacity-and-retries.md). The extra isn't earned, so a new process does
/// without it for its first window.
///
/// A retried run makes its calls again, and these count as retries at the called services. So a call brings
/// along the share of its server's runs that are retries: what retries above have used up of the bound here
/// is known, and the rest can be spent. Pure.
class WindowBudget {
  public:
    WindowBudget(WindowBudgetTerms terms, TimePoint started) : terms_(terms), started_(started) {}

    /// `inherited` in [0, 1]: how likely the request is made by a retried run.
    void on_request(TimePoint now, const std::string& service, double inherited = 0);
    /// Takes one retry; false if the budget has none left. `members` is the number of daemons in the fleet.
    bool try_retry(TimePoint now, const std::string& service, std::size_t members, RetryReason reason);

    void set_terms(const WindowBudgetTerms& terms) { terms_ = terms; }

  private:
    struct Sample {
        TimePoint time;
        double weight = 0;
    };
    /// Weights within the window.
    struct Sum {
        std::deque<Sample> samples;
        double total = 0;
    };
    struct Counts {
        Sum requests;  ///< Not those that count as retries.
        Sum retries;
        Sum of_extra;        ///< Retries that the extra paid for.
        double savings = 0;  ///< Retries that requests have earned and that weren't spent.
    };

    static void add(Sum& sum, TimePoint now, double weight);
    void drop_old(TimePoint now, Counts& counts) const;
    /// Most that may be saved up.
    double most_savings(const Counts& counts) const;

    WindowBudgetTerms terms_;
    TimePoint started_;
    std::map<std::string, Counts> services_;
};

}  // namespace anisehold::retry
