/// @file
/// Accounts for a client's own retries of a root request. Owns nothing; relies on the gate service's ledgers.
#pragma once

#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/gate_service.hpp"

namespace anisehold::daemon {

/// A repeatable request that comes again with the same trace id or idempotency key is a retry, and is
/// charged to what the first attempt was given. The ledger is this daemon's: a client that changes to
/// another daemon between its retries starts a new one there. Non-repeatable requests are left to claims.
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
