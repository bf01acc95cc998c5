/// @file
/// When one request of the sidecar is sent to a server, sent again, waited for or given up.
///
/// The plan owns the count of a request's attempts and how they ended. It relies on its caller
/// (sidecar/call_attempts) to choose servers, to ask the WindowBudget before each retry, and to report each
/// launch and each end once. Pure.
#pragma once

#include "protocol/time_types.hpp"
#include "retry/window_budget.hpp"

namespace anisehold::retry {

/// What bounds the attempts of one request.
struct AttemptTerms {
    bool may_retry = false;    ///< The request may run more than once.
    unsigned max_servers = 1;  ///< Most servers that the request may reach.
    TimePoint deadline;
    /// A request that reached no server until then is refused: its caller gets a time to come back, which
    /// serves it better than a wait in one queue after the other.
    TimePoint refuse_unsent_at = TimePoint::max();
    Duration hedge_after{};  ///< An attempt that takes longer is joined by another one.
    /// Until then servers may come to be known, and a request for which there is none waits.
    TimePoint servers_known_at = TimePoint::min();
    bool may_hedge = true;  ///< Off only in the lab.
};

/// How one attempt ended.
enum class AttemptOutcome {
    kAnswered,         ///< A whole answer that is good.
    kFailedAnswer,     ///< The server's own answer, which says that it failed.
    kNotSent,          ///< Refused before any server was reached.
    kRefusedByServer,  ///< Reached a server, which declared that it ran nothing.
    kUnknown,          ///< May have run.
};

enum class AttemptStep {
    kLaunch,       ///< Send it; no server was reached yet.
    kLaunchRetry,  ///< Send it again, if the budget has a retry.
    kWait,
    kDeliver,  ///< Give the answer.
    kRefuse,   ///< It has not run and won't: refuse with a time to come back.
    kFail,     ///< It may have run and has no answer.
    kTimeUp,
};

/// The plan of one request. Asked in this order:
/// 1. Is there a good answer? Deliver it.
/// 2. Is the deadline past? Time is up.
/// 3. Does an attempt run? Wait; join it by another one if it is slow and the terms allow that.
/// 4. Was nothing sent, and is no server known yet? Wait for one.
/// 5. Was no server reached? Launch again if another server is there and it isn't too late, else refuse.
/// 6. May the request go on, because it has not run or may run twice? Retry at another server.
/// 7. Deliver a failed answer; refuse what has not run; fail the rest.
class AttemptPlan {
  public:
    explicit AttemptPlan(AttemptTerms terms) : terms_(terms) {}

    /// The next step. `another_server`: some server hasn't been tried that could be.
    AttemptStep next(TimePoint now, bool another_server) const;
    /// When to ask again if nothing happens before, after `kWait`.
    TimePoint wait_until(TimePoint now) const;

    void on_launched(TimePoint now);
    /// The budget had no retry; none is asked for until an attempt has ended.
    void on_retry_refused() { retry_refused_ = true; }
    void on_outcome(AttemptOutcome outcome);
    /// An attempt was cancelled before it ended. One that hasn't begun to be sent never will be.
    void on_cancelled(bool was_sent) {
        on_outcome(was_sent ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent);
    }

    /// Why the next retry would be one.
    RetryReason retry_reason() const;

    unsigned running() const { return running_; }
    /// Whether the request may have run.
    bool may_have_run() const { return unknown_ > 0 || failed_answers_ > 0 || running_ > 0; }

  private:
    bool retry_allowed(bool another_server) const;
    bool waits_for_server(TimePoint now, bool another_server) const;

    AttemptTerms terms_;
    unsigned launched_ = 0;
    unsigned running_ = 0;
    unsigned reached_ = 0;  ///< Ended attempts that reached a server.
    unsigned unknown_ = 0;
    unsigned failed_answers_ = 0;
    bool answered_ = false;
    bool retry_refused_ = false;
    TimePoint last_launch_;
};

}  // namespace anisehold::retry
