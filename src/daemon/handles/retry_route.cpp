#include "daemon/handles/retry_route.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace anisehold::daemon {
namespace {

/// Mean pause before a retry; jittered by up to half in both directions.
constexpr milliseconds kMeanBackoff{10};
/// Maximum share of the remaining time for one attempt while retries are left.
constexpr double kMaxAttemptShare = 0.6;

bool is_gateway_failure(unsigned status) {
    return status == 502 || status == 503 || status == 504;
}

}  // namespace

CallResult RetryRoute::route(Call& call) {
    budget_.on_first_attempt(call.route.row.name);
    unsigned used = 0;
    CallResult result = attempt(call);
    used += result.retries_used;
    call.context.retry_allowance -= std::min(result.retries_used, call.context.retry_allowance);
    while (may_retry(call, result)) {
        --call.context.retry_allowance;
        ++used;
        context_.metrics.count_retry(call.route.row.name);
        context_.decisions.add(call.context.root_id, call.context.call_id,
                               observability::DecisionStep::kRetried,
                               result.response ? "status " + std::to_string(result.response->status)
                                               : std::string(answer_for(result.error).name));
        boost::this_fiber::sleep_for(context_.jittered(kMeanBackoff));
        result = attempt(call);
        used += result.retries_used;
        call.context.retry_allowance -= std::min(result.retries_used, call.context.retry_allowance);
    }
    result.retries_used = used;
    return result;
}

CallResult RetryRoute::attempt(Call& call) {
    const auto call_deadline = call.deadline;
    if (call.context.retry_allowance > 0 && call.route.row.repeatable) {
        const auto now = TimePoint::clock::now();
        call.deadline = now + std::chrono::duration_cast<Duration>((call_deadline - now) * kMaxAttemptShare);
    }
    auto result = next_.route(call);
    call.deadline = call_deadline;
    return result;
}

bool RetryRoute::may_retry(const Call& call, const CallResult& result) {
    const bool failed = result.response ? is_gateway_failure(result.response->status)
                                        : result.error == ErrorKind::kBackendFailed ||
                                              result.error == ErrorKind::kConnectFailed ||
                                              result.error == ErrorKind::kDeadlineExceeded;
    const bool cancelled = call.cancel != nullptr && call.cancel->cancelled();
    const bool time_left = TimePoint::clock::now() + kMeanBackoff < call.deadline;
    const bool allowed = call.route.row.repeatable && call.context.retry_allowance > 0 &&
                         call.request->body.whole() && !result.refused_by_overload();
    if (!failed || cancelled || !time_left || !allowed) {
        return false;
    }
    return !context_.has(config::Mechanism::kRetryEscrow) || budget_.try_retry(call.route.row.name);
}

}  // namespace anisehold::daemon
