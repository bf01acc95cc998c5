/// @file
/// Accounts for a nested call in the home ledger of its calling call, so that the retries of all layers
/// together stay within the root request's allowance. Owns nothing; relies on retry/retry_ledger for the
/// decision.
#pragma once

#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/gate_service.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/peer_client.hpp"

namespace anisehold::daemon {

/// Draws an allowance for the nested call and settles the loan afterwards. The ledger is local if this daemon
/// is also the gate of the calling server; otherwise the handle sends one request to the peer that has the
/// ledger.
class LedgerRoute final : public RouteHandle {
  public:
    LedgerRoute(DaemonContext& context, PeerClient& peers, MembershipService& membership, GateService& gates,
                RouteHandle& next)
        : context_(context), peers_(peers), membership_(membership), gates_(gates), next_(next) {}
    CallResult route(Call& call) override;

  private:
    std::optional<retry::DrawReply> draw(const Call& call);
    void settle(const Call& call, const retry::SettleRequest& request);

    DaemonContext& context_;
    PeerClient& peers_;
    MembershipService& membership_;
    GateService& gates_;
    RouteHandle& next_;
};

}  // namespace anisehold::daemon
