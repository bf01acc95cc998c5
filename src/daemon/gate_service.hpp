/// @file
/// The gates of servers that this daemon keeps: admission, connections, home ledgers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "admission/server_gate.hpp"
#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"
#include "daemon/membership_service.hpp"
#include "net/fiber_event.hpp"
#include "net/http_client.hpp"
#include "retry/retry_ledger.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::daemon {

/// Present state of one gate, for status pages.
struct GateStatus {
    Endpoint server;
    admission::GateLoad load;
    unsigned admitted_priority = 0;
    std::size_t open_connections = 0;
};

/// Sends calls to servers, each through the server's one gate.
class GateService {
  public:
    GateService(DaemonContext& context, MembershipService& membership, routing::BackendRegistry& registry);

    /// Starts housekeeping.
    void start();
    /// Admits and runs a call at a server that this daemon is the gate of.
    CallResult dispatch(Call& call, const Endpoint& server);

    retry::DrawReply handle(const retry::DrawRequest& request);
    /// Opens the ledger of a client's request, which may come again.
    void open_client_ledger(const std::string& id, const retry::LedgerTerms& terms);
    void handle(const retry::SettleRequest& request);

    std::vector<GateStatus> status() const;
    admission::GateLoad load_of(const Endpoint& server) const;
    std::size_t calls_in_flight() const { return in_flight_; }

  private:
    struct Waiter {
        net::FiberEvent event;
        bool admitted = false;
        bool evicted = false;
    };
    struct Gate {
        Gate(std::unique_ptr<admission::ConcurrencyLimit> limit, const admission::GateOptions& options,
             boost::asio::io_context& io, const Endpoint& server, const net::HttpPoolLimits& pool)
            : gate(std::move(limit), options), client(io, server, pool) {}

        admission::ServerGate gate;
        net::HttpClient client;
        unsigned ceiling = 0;
        std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    };

    /// Everything that is settled when an admitted call ends, be it after a streamed answer.
    class Admission;

    std::shared_ptr<Gate> gate_for(const Endpoint& server, const routing::RouteDecision& route);
    std::unique_ptr<admission::ConcurrencyLimit> make_limit(unsigned ceiling) const;
    std::optional<CallResult> wait_for_admission(Gate& gate, const Call& call, std::uint64_t id);
    CallResult run(const std::shared_ptr<Gate>& gate, Call& call, const Endpoint& server, std::uint64_t id);
    CallResult answer_result(net::HttpResponse response, const Call& call,
                             const std::shared_ptr<Admission>& admission);
    CallResult failure_result(const net::ExchangeProgress& progress, const Call& call, Admission& admission);
    net::HttpRequest server_request(Call& call) const;
    void drop_unlisted_gates();
    void wake(Gate& gate, const std::vector<std::uint64_t>& ids);

    DaemonContext& context_;
    MembershipService& membership_;
    routing::BackendRegistry& registry_;
    retry::RetryLedger ledger_;
    std::map<Endpoint, std::shared_ptr<Gate>> gates_;
    std::uint64_t next_id_ = 1;
    std::size_t in_flight_ = 0;
};

}  // namespace anisehold::daemon
