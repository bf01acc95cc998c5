/// @file
/// Lets a non-repeatable request through at most once.
#pragma once

#include "daemon/claim_service.hpp"
#include "daemon/daemon_context.hpp"
#include "routing/call.hpp"

namespace anisehold::routing {

/// Claims the idempotency key before the call goes on, and tells the holders how it ended. Calls below one
/// that was dispatched at most once need no claim of their own: their caller's ledger recognises a repeat.
class ClaimRoute final : public RouteHandle {
  public:
    ClaimRoute(daemon::DaemonContext& context, daemon::ClaimService& claims, RouteHandle& next)
        : context_(context), claims_(claims), next_(next) {}
    CallResult route(Call& call) override;

  private:
    CallResult route_claimed(Call& call, const daemon::ClaimOutcome& won);
    CallResult duplicate_result(const Call& call, const daemon::ClaimOutcome& outcome);
    std::string claim_key(const Call& call, std::string_view idempotency_key) const;

    daemon::DaemonContext& context_;
    daemon::ClaimService& claims_;
    RouteHandle& next_;
};

}  // namespace anisehold::routing
