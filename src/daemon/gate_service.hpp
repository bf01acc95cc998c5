/// @file
/// Runs calls at the servers whose gates this daemon keeps: admission, the HTTP exchange with the server, and
/// accounting for the retries of nested calls. Owns the gates and the home ledgers; relies on the registry
/// for which servers take new work.
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

/// Sends calls to servers. Every call to a server passes the server's single gate.
class GateService {
  public:
    GateService(DaemonContext& context, MembershipService& /*membership*/,
                routing::BackendRegistry& registry);

    /// Starts the housekeeping fiber.
    void start();
    /// Admits and runs a call at a server whose gate this daemon keeps. Blocks the fiber until the response
    /// header has arrived, the call was refused, or its deadline has passed.
    CallResult dispatch(Call& call, const Endpoint& server);

    retry::DrawReply handle(const retry::DrawRequest& request);
    /// Opens the ledger of a client's request unless an earlier attempt of the same request has opened it.
    void open_client_ledger(const std::string& id, const retry::LedgerTerms& terms);
    void handle(const retry::SettleRequest& request);

    std::vector<GateStatus> status() const { return gates_.status(); }
    admission::GateLoad load_of(const Endpoint& server) const { return gates_.load_of(server); }
    std::size_t calls_in_flight() const { return in_flight_; }

  private:
    /// Releases the resources of an admitted call when the call ends, which may be after a streamed response
    /// body.
    class Admission;

    CallResult run(const std::shared_ptr<GateEntry>& gate, Call& call, const Endpoint& server,
                   std::uint64_t id);
    /// `held`: time between sending the request and receiving the response header.
    CallResult answer_result(net::HttpResponse response, const Call& call,
                             const std::shared_ptr<Admission>& admission, Duration held);
    CallResult failure_result(const net::ExchangeProgress& progress, const Call& call, Admission& admission);
    net::HttpRequest server_request(Call& call) const;

    DaemonContext& context_;
    routing::BackendRegistry& registry_;
    retry::RetryLedger ledger_;
    ServerGates gates_;
    std::uint64_t next_id_ = 1;  ///< Id of the next call at any gate.
    std::size_t in_flight_ = 0;  ///< Admitted calls whose response bodies haven't ended.
};

}  // namespace anisehold::daemon
