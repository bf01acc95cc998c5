/// @file
/// Accounts for a client's own retries of a root request. Owns nothing; relies on the gate service's ledgers.
#pragma once

#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/gate_service.hpp"

namespace anisehold::daemon {

/// Treats a repeatable request with the trace id or idempotency key of an earlier request as a retry, and
/// charges the retry to the allowance of the first attempt. The ledger is local to this daemon: a client that
/// switches to another daemon between retries starts a new ledger there. Claims cover non-repeatable
/// requests.
class ClientLedgerRoute final : public RouteHandle {
  public:
    ClientLedgerRoute(DaemonContext& context, GateService& gates, RouteHandle& next)
        : context_(context), gates_(gates), next_(next) {}
    CallResult route(Call& call) override;

  private:
    DaemonContext& context_;
    GateService& gates_;
    RouteHandle& next_;
};

}  // namespace anisehold::daemon
