/// @file
/// Decides when one request of the sidecar is sent, retried, hedged, waited for or abandoned.
///
/// The plan owns the number of the request's attempts and their outcomes. Its caller (sidecar/call_attempts)
/// chooses servers, asks the WindowBudget before each retry, and reports each launch and each outcome once.
/// Pure.
#pragma once

#include "protocol/time_types.hpp"
#include "retry/window_budget.hpp"

namespace anisehold::retry {

/// Limits on the attempts of one request.
struct AttemptTerms {
    bool may_retry = false;    ///< The request may run more than once.
    unsigned max_servers = 1;  ///< Maximum number of servers that the request may reach.
    TimePoint deadline;
    /// A request that has reached no server by this time is refused with a Retry-After time, which serves the
    /// caller better than waiting in one queue after another.
    TimePoint refuse_unsent_at = TimePoint::max();
    Duration hedge_after{};  ///< An attempt that takes longer is hedged by a second one.
    /// Server discovery may still be incomplete until this time, so a request without a server waits.
    TimePoint servers_known_at = TimePoint::min();
    bool may_hedge = true;  ///< Disabled only in the lab.
    /// A declined attempt has not run, so it may be sent again, also to a server that was tried before. Set
    /// if the servers' gates grant retries (retry/gate_budget).
    bool repeats_declined = false;
};

/// Maximum number of sends of one request that reach a server, if declined attempts are repeated. At a
/// declined share of 0.55 a call then fails with a probability of 0.03.
inline constexpr unsigned kMaxSends = 6;

/// How one attempt ended.
enum class AttemptOutcome {
    kAnswered,         ///< A complete, successful response.
    kFailedAnswer,     ///< The server's own response, which reports a failure.
    kNotSent,          ///< Refused before any server was reached.
    kRefusedByServer,  ///< Reached a server, which stated that it did not run the request.
    kUnknown,          ///< May have run.
};

enum class AttemptStep {
    kLaunch,       ///< Send the request; no server has been reached yet.
    kLaunchRetry,  ///< Send the request again if the budget allows a retry.
    kWait,
    kDeliver,  ///< Deliver the response.
    kRefuse,   ///< The request has not run and will not run: refuse it with a Retry-After time.
    kFail,     ///< The request may have run and has no response.
    kTimeUp,
};

/// The plan of one request. `next` applies these rules in order:
/// 1. A good response is there: deliver it.
/// 2. The deadline has passed: report that time is up.
/// 3. An attempt is in flight: wait, or hedge if the attempt is slow and the terms allow a hedge.
/// 4. Nothing was sent and no server is known yet: wait for a server.
/// 5. No server was reached: launch again if another server is available and there is time left, else refuse.
/// 6. The request has not run, or may run more than once: retry at another server.
/// 7. Otherwise deliver a failed response, refuse a request that has not run, and fail all others.
class AttemptPlan {
  public:
    explicit AttemptPlan(AttemptTerms terms) : terms_(terms) {}

    /// Returns the next step. `another_server`: a server is available that has not been tried, or, if
    /// declined attempts are repeated, one that has declined the request.
    AttemptStep next(TimePoint now, bool another_server) const;
    /// After `kWait`: when to call `next` again if no event occurs before.
    TimePoint wait_until(TimePoint now) const;

    void on_launched(TimePoint now);
    /// The budget had no retry; no other retry is requested until an attempt has ended.
    void on_retry_refused() { retry_refused_ = true; }
    /// The gate of a server refused a retry: the request is not retried again.
    void on_retries_exhausted() { retries_exhausted_ = true; }
    void on_outcome(AttemptOutcome outcome);
    /// An attempt was cancelled before it ended. An attempt that had not begun to be sent is never sent.
    void on_cancelled(bool was_sent) {
        on_outcome(was_sent ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent);
    }

    /// The gate of the attempt that ended last gave no reply to a reservation. The request may go to one more
    /// server after `refuse_unsent_at`: it has waited in no queue.
    void on_silent_gate() { replaces_silent_gate_ = true; }

    /// The reason to give to the budget for the next retry.
    RetryReason retry_reason() const;

    unsigned running() const { return running_; }
    /// Whether a further server may be tried; otherwise only servers that have declined the request.
    bool may_reach_another_server(unsigned reached_servers) const {
        return reached_servers < terms_.max_servers;
    }
    /// Whether the request may have run.
    bool may_have_run() const { return unknown_ > 0 || failed_answers_ > 0 || running_ > 0; }

  private:
    bool retry_allowed(bool another_server) const;
    /// Whether the number of attempts so far allows another one.
    bool attempts_left() const;
    bool waits_for_server(TimePoint now, bool another_server) const;

    AttemptTerms terms_;
    unsigned launched_ = 0;
    unsigned running_ = 0;
    unsigned reached_ = 0;  ///< Ended attempts that reached a server.
    unsigned unknown_ = 0;
    unsigned failed_answers_ = 0;
    bool answered_ = false;
    unsigned declined_ = 0;  ///< Attempts of `reached_` that did not run.
    bool retry_refused_ = false;
    bool replaces_silent_gate_ = false;
    bool retries_exhausted_ = false;
    TimePoint last_launch_;
};

}  // namespace anisehold::retry
