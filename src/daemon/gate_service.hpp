/// @file
/// Runs calls at the servers whose gates this daemon keeps: admission, the exchange with the server, and what
/// the call's nested calls use of its retry allowance. Owns the gates and the home ledgers; relies on the
/// registry for which servers take work.
#pragma once

#include <memory>

#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/membership_service.hpp"
#include "daemon/server_gates.hpp"
#include "retry/retry_ledger.hpp"
#include "retry/server_refusal.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::daemon {

/// Sends calls to servers, each through the server's one gate.
class GateService {
  public:
    GateService(DaemonContext& context, MembershipService& /*membership*/,
                routing::BackendRegistry& registry);

    /// Starts housekeeping.
    void start();
    /// Admits and runs a call at a server that this daemon is the gate of. Blocks the fiber until the
    /// answer's header has come, the call was refused, or its deadline is over.
    CallResult dispatch(Call& call, const Endpoint& server);

    retry::DrawReply handle(const retry::DrawRequest& request);
    /// Opens the ledger of a client's request, which may come again.
    void open_client_ledger(const std::string& id, const retry::LedgerTerms& terms);
    void handle(const retry::SettleRequest& request);

    std::vector<GateStatus> status() const { return gates_.status(); }
    admission::GateLoad load_of(const Endpoint& server) const { return gates_.load_of(server); }
    std::size_t calls_in_flight() const { return in_flight_; }

  private:
    /// Everything that is settled when an admitted call ends, be it after a streamed answer.
    class Admission;

    CallResult run(const std::shared_ptr<GateEntry>& gate, Call& call, const Endpoint& server,
                   std::uint64_t id);
    /// `held`: how long the server had the call before its answer came.
    CallResult answer_result(net::HttpResponse response, const Call& call,
                             const std::shared_ptr<Admission>& admission, Duration held);
    CallResult failure_result(const net::ExchangeProgress& progress, const Call& call, Admission& admission);
    net::HttpRequest server_request(Call& call) const;

    DaemonContext& context_;
    routing::BackendRegistry& registry_;
    retry::RetryLedger ledger_;
    ServerGates gates_;
    std::uint64_t next_id_ = 1;  ///< Of calls at gates.
    std::size_t in_flight_ = 0;  ///< Admitted calls whose answers haven't ended.
};

}  // namespace anisehold::daemon
