#include "retry/attempt_plan.hpp"

#include <algorithm>

namespace anisehold::retry {
namespace {

/// Maximum number of attempts of one request that reach no server.
constexpr unsigned kMaxUnsentAttempts = 12;
/// Polling interval while no server is known.
constexpr milliseconds kServerPoll{10};
/// Polling interval of a slow attempt while no other server is available for a hedge. Prevents a busy loop:
/// when the wait ended at a time in the past, the loop took 2,172 samples of a profile of 8 s of the soak's
/// sidecars, and 460 samples of a profile of 7 s with this interval.
constexpr milliseconds kHedgePoll{50};
/// Minimum remaining time for starting a retry.
constexpr milliseconds kMinTimeToRetry{20};

}  // namespace

bool AttemptPlan::retry_allowed(bool another_server) const {
    return another_server && !retry_refused_ && attempts_left();
}

bool AttemptPlan::attempts_left() const {
    if (!terms_.repeats_declined) {
        return reached_ + running_ < terms_.max_servers;
    }
    const unsigned may_have_run = reached_ - declined_ + running_;
    return !retries_exhausted_ && may_have_run < terms_.max_servers && reached_ + running_ < kMaxSends &&
           launched_ < kMaxUnsentAttempts;
}

AttemptStep AttemptPlan::next(TimePoint now, bool another_server) const {
    if (answered_) {
        return AttemptStep::kDeliver;
    }
    if (now >= terms_.deadline) {
        return AttemptStep::kTimeUp;
    }
    const bool time_to_retry = now + kMinTimeToRetry < terms_.deadline;
    if (running_ > 0) {
        const bool overdue = now - last_launch_ >= terms_.hedge_after;
        const bool hedge =
            terms_.may_hedge && terms_.may_retry && overdue && time_to_retry && retry_allowed(another_server);
        return hedge ? AttemptStep::kLaunchRetry : AttemptStep::kWait;
    }
    const bool has_not_run = unknown_ == 0 && failed_answers_ == 0;
    if (waits_for_server(now, another_server)) {
        return AttemptStep::kWait;
    }
    if (reached_ == 0) {
        const bool in_time =
            launched_ == 0 || now < terms_.refuse_unsent_at || (replaces_silent_gate_ && time_to_retry);
        const bool may_launch = another_server && in_time && launched_ < kMaxUnsentAttempts;
        return may_launch ? AttemptStep::kLaunch : AttemptStep::kRefuse;
    }
    const bool may_go_on = has_not_run || terms_.may_retry;
    if (may_go_on && time_to_retry && retry_allowed(another_server)) {
        return AttemptStep::kLaunchRetry;
    }
    if (failed_answers_ > 0) {
        return AttemptStep::kDeliver;
    }
    return has_not_run ? AttemptStep::kRefuse : AttemptStep::kFail;
}

bool AttemptPlan::waits_for_server(TimePoint now, bool another_server) const {
    return launched_ == 0 && !another_server &&
           now < std::min(terms_.servers_known_at, terms_.refuse_unsent_at);
}

TimePoint AttemptPlan::wait_until(TimePoint now) const {
    if (running_ == 0) {
        return std::min<TimePoint>(terms_.deadline, now + kServerPoll);
    }
    const bool may_hedge = terms_.may_hedge && terms_.may_retry && !retry_refused_ && attempts_left();
    if (!may_hedge) {
        return terms_.deadline;
    }
    // After the hedge time has passed without a launch, no other server is available at present, or too
    // little time is left. A wait until a time in the past would be a busy loop.
    const auto hedge_at = last_launch_ + terms_.hedge_after;
    return std::min<TimePoint>(terms_.deadline, now < hedge_at ? hedge_at : now + kHedgePoll);
}

RetryReason AttemptPlan::retry_reason() const {
    if (running_ > 0) {
        return RetryReason::kSlow;
    }
    return failed_answers_ > 0 ? RetryReason::kFailedAnswer : RetryReason::kNoAnswer;
}

void AttemptPlan::on_launched(TimePoint now) {
    ++launched_;
    ++running_;
    last_launch_ = now;
    replaces_silent_gate_ = false;
}

void AttemptPlan::on_outcome(AttemptOutcome outcome) {
    --running_;
    retry_refused_ = false;
    switch (outcome) {
        case AttemptOutcome::kAnswered:
            answered_ = true;
            ++reached_;
            break;
        case AttemptOutcome::kFailedAnswer:
            ++failed_answers_;
            ++reached_;
            break;
        case AttemptOutcome::kNotSent:
            break;
        case AttemptOutcome::kRefusedByServer:
            ++reached_;
            ++declined_;
            break;
        case AttemptOutcome::kUnknown:
            ++unknown_;
            ++reached_;
            break;
    }
}

}  // namespace anisehold::retry
