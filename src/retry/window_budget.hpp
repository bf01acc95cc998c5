/// @file
/// Limits retries to a share of requests within a sliding window, divided among the daemons of a fleet.
///
/// The operators' bound applies to the whole fleet at each service; the settings provide its ratio, extra and
/// window.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::retry {

/// Why a request is sent again. The less certain the benefit, the smaller the usable part of the budget.
enum class RetryReason {
    kNoAnswer,      ///< The attempt ended without a response, or the server declined it.
    kFailedAnswer,  ///< The server reported a failure, which often originated in a service below it.
    kSlow,          ///< The attempt is slow and may still get a response.
};

/// Bounds of the fleet's retries at each service.
struct WindowBudgetTerms {
    double ratio = 0.2;  ///< Retries per request in each window.
    double extra = 0;    ///< Additional retries in each window, over the whole fleet.
    milliseconds window{10'000};
    /// Share of the bound that is available to attempts without a response. The rest covers errors in the
    /// estimate of which calls are made by retried runs. With this value and calls of retried runs counted,
    /// the value of the responses on four days was 0.420, 0.629, 0.742 and 0.603, against 0.374, 0.619, 0.731
    /// and 0.624 with 0.3 at each level (docs/design/tenants.md).
    double no_answer_share = 0.85;
    /// Maximum share of the bound that failed responses and slow attempts may use.
    double doubtful_share = 0.1;
    /// Share of the ratio's part of the bound that may accumulate and be spent at once. With
    /// `no_answer_share` it leaves 0.05 of the bound for calls of runs that outlast their daemon.
    double burst_share = 0.1;
};

/// This daemon's part of the fleet's budget: the ratio of its own requests, and an equal share of the extra.
/// All parts together stay within the bound without any message between daemons.
///
/// A new process does not know what its predecessor spent in the current window, so no process may spend in
/// advance: retries of the ratio are spent as requests earn them, and only a small amount accumulates.
/// Whenever a process is killed, what it spent and what its successor earns then stay within the bound
/// together. In a model of 13 daemons that are killed while half of all attempts are declined, up to 1.41 of
/// the bound was used when whole windows accumulated, and up to 0.92 with this limit; without kills 0.85 in
/// both cases (docs/design/capacity-and-retries.md). The extra is not earned, so a new process has none of it
/// in its first window.
///
/// A retried run makes its calls again, and these count as retries at the called services. Each call
/// therefore carries the share of its server's runs that are retries, from which the called side knows how
/// much of the bound retries in upper layers have already used. Pure.
class WindowBudget {
  public:
    WindowBudget(WindowBudgetTerms terms, TimePoint started) : terms_(terms), started_(started) {}

    /// `inherited` in [0, 1]: the probability that a retried run makes the request.
    void on_request(TimePoint now, const std::string& service, double inherited = 0);
    /// Takes one retry; false if the budget has none left. `members` is the number of daemons in the fleet.
    bool try_retry(TimePoint now, const std::string& service, std::size_t members, RetryReason reason);

    /// Records a retry that the gate of the server has granted instead.
    void record_retry(TimePoint now, const std::string& service);

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
        Sum requests;  ///< Without requests that count as retries.
        Sum retries;
        Sum of_extra;        ///< Retries that the extra paid for.
        double savings = 0;  ///< Retries that requests have earned and that were not spent.
    };

    static void add(Sum& sum, TimePoint now, double weight);
    void drop_old(TimePoint now, Counts& counts) const;
    /// Upper bound of `savings`.
    double max_savings(const Counts& counts) const;

    WindowBudgetTerms terms_;
    TimePoint started_;
    std::map<std::string, Counts> services_;
};

}  // namespace anisehold::retry
