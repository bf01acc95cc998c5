/// @file
/// Retries failed attempts within the call's allowance and the row's budget. Owns the budget; relies on the
/// ledgers for the allowance.
#pragma once

#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"
#include "retry/retry_budget.hpp"

namespace anisehold::daemon {

/// Never retries a call of a non-repeatable row, a call that was refused for overload, or a call with a
/// streamed request body.
class RetryRoute final : public RouteHandle {
  public:
    RetryRoute(DaemonContext& context, RouteHandle& next) : context_(context), next_(next) {}
    CallResult route(Call& call) override;

  private:
    bool may_retry(const Call& call, const CallResult& result);
    CallResult attempt(Call& call);

    DaemonContext& context_;
    RouteHandle& next_;
    retry::RetryBudget budget_;
};

}  // namespace anisehold::daemon
