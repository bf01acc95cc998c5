/// @file
/// Repeats as a share of requests within a sliding window, divided among the daemons of a fleet.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::retry {

/// Why a request is repeated; the less certain the use, the smaller the part of the budget.
enum class RepeatReason {
    kNoAnswer,      ///< The attempt ended without an answer, or the server declined it.
    kFailedAnswer,  ///< The server answered that it failed; often something below it did.
    kSlow,          ///< The attempt takes long; it may still be answered.
};

/// Bounds of the fleet's repeats at each service.
struct WindowBudgetTerms {
    double ratio = 0.2;  ///< Repeats per request in each window.
    double extra = 0;    ///< Repeats allowed beyond, over the whole fleet.
    milliseconds window{10'000};
    /// Share of the bound that is spent on attempts without an answer. The rest covers the estimate of which
    /// calls are made by repeated runs.
    double no_answer_share = 0.85;
    /// Share beyond which nothing is spent on failed answers and slow attempts.
    double doubtful_share = 0.1;
};

/// This daemon's part of the fleet's budget: the ratio of its own requests, and an equal share of the extra.
/// All parts together stay within the bound without any message between daemons. A new process starts
/// without the extra, since its predecessor may have spent that in the same window.
///
/// A repeated run repeats the calls that it makes, and these count as repeats at the called services. So a
/// call brings along the share of its server's runs that are repeats: what repeats above have used up of the
/// bound here is known, and the rest can be spent. Pure.
class WindowBudget {
  public:
    WindowBudget(WindowBudgetTerms terms, TimePoint started) : terms_(terms), started_(started) {}

    /// `inherited` in [0, 1]: how likely the request is made by a repeated run.
    void on_request(TimePoint now, const std::string& service, double inherited = 0);
    /// Takes one repeat; false if the budget has none left. `members` is the number of daemons in the fleet.
    bool try_repeat(TimePoint now, const std::string& service, std::size_t members, RepeatReason reason);

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
        Sum requests;  ///< Not those that count as repeats.
        Sum repeats;
    };

    static void add(Sum& sum, TimePoint now, double weight);
    void drop_old(TimePoint now, Counts& counts) const;

    WindowBudgetTerms terms_;
    TimePoint started_;
    std::map<std::string, Counts> services_;
};

}  // namespace anisehold::retry
