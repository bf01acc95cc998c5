/// @file
/// Runs a non-repeatable request at most once: the holders of its idempotency key must grant a claim first.
/// Owns nothing; relies on the claim service.
#pragma once

#include "daemon/call.hpp"
#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"

namespace anisehold::daemon {

/// Claims the idempotency key before passing the call on, and reports the end of the call to the holders.
/// Calls nested in a call that was dispatched at most once need no claim of their own, because their caller's
/// ledger detects a second attempt.
class ClaimRoute final : public RouteHandle {
  public:
    ClaimRoute(DaemonContext& context, ClaimService& claims, RouteHandle& next)
        : context_(context), claims_(claims), next_(next) {}
    CallResult route(Call& call) override;

  private:
    CallResult route_claimed(Call& call, const ClaimOutcome& won);
    CallResult duplicate_result(const Call& call, const ClaimOutcome& outcome);
    std::string claim_key(const Call& call, std::string_view idempotency_key) const;

    DaemonContext& context_;
    ClaimService& claims_;
    RouteHandle& next_;
};

}  // namespace anisehold::daemon
