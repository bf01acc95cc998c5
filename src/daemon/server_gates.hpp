/// @file
/// The gates that this daemon keeps, one per server. Owns each gate's learned limit, the calls waiting for
/// admission, and the connections to the server; relies on the registry for which servers are listed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/server_gate.hpp"
#include "daemon/call.hpp"
#include "daemon/daemon_context.hpp"
#include "net/fiber_event.hpp"
#include "net/http_client.hpp"
#include "routing/backend_registry.hpp"

namespace anisehold::daemon {

/// Current state of one gate, for status pages.
struct GateStatus {
    Endpoint server;
    admission::GateLoad load;
    unsigned admitted_priority = 0;  ///< Least important priority that is currently admitted.
    std::size_t open_connections = 0;
};

/// A call waiting at a gate. Its fiber wakes when one of the flags is set or its own time limit is reached.
struct WaitingCall {
    net::FiberEvent event;
    bool admitted = false;
    bool evicted = false;  ///< A more important call took the place in the queue.
};

/// One server's gate, its connections and its waiting calls.
struct GateEntry {
    GateEntry(std::unique_ptr<admission::ConcurrencyLimit> limit, const admission::GateOptions& options,
              boost::asio::io_context& io, const Endpoint& server, const net::HttpPoolLimits& pool)
        : gate(std::move(limit), options), client(io, server, pool) {}

    /// Wakes the waiting calls with the given ids, which the gate has admitted.
    void wake(const std::vector<std::uint64_t>& admitted);

    admission::ServerGate gate;
    net::HttpClient client;
    unsigned ceiling = 0;  ///< Concurrency limit of the service's row; 0 if none.
    std::unordered_map<std::uint64_t, std::shared_ptr<WaitingCall>> waiting;
};

/// Not thread-safe: used from the daemon's single thread only.
class ServerGates {
  public:
    ServerGates(DaemonContext& context, const routing::BackendRegistry& registry)
        : context_(context), registry_(registry) {}

    /// Returns the gate of a server, creating the gate if there is none. If the limit in the service's row
    /// has changed, the gate's learned limit starts again from the new value.
    std::shared_ptr<GateEntry> gate_for(const Endpoint& server, const routing::RouteDecision& route);
    /// Blocks the fiber until the call is admitted (returns nothing) or fails: refused, timed out in the
    /// queue, or cancelled by its caller.
    std::optional<CallResult> wait_for_admission(GateEntry& gate, const Call& call, std::uint64_t id);
    /// Removes idle gates of servers that are no longer listed, and updates the gates' metrics.
    void housekeep();

    std::vector<GateStatus> status() const;
    /// All zeros if this daemon has no gate for the server.
    admission::GateLoad load_of(const Endpoint& server) const;

  private:
    std::unique_ptr<admission::ConcurrencyLimit> make_limit(unsigned ceiling) const;
    std::shared_ptr<GateEntry> open_gate(const Endpoint& server, unsigned ceiling) const;
    std::optional<CallResult> wait_in_queue(GateEntry& gate, const Call& call, std::uint64_t id,
                                            const admission::ArrivalDecision& decision);

    DaemonContext& context_;
    const routing::BackendRegistry& registry_;
    std::map<Endpoint, std::shared_ptr<GateEntry>> gates_;
};

}  // namespace anisehold::daemon
