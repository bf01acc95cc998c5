/// @file
/// The gates that this daemon keeps, one for each server: its learned limit, the calls that wait for
/// admission, and its connections. Owns all of these; relies on the registry for which servers there are.
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

/// Present state of one gate, for status pages.
struct GateStatus {
    Endpoint server;
    admission::GateLoad load;
    unsigned admitted_priority = 0;  ///< Least important priority that is admitted now.
    std::size_t open_connections = 0;
};

/// A call that waits at a gate. Its fiber wakes when one of the flags is set, or at its own time limit.
struct WaitingCall {
    net::FiberEvent event;
    bool admitted = false;
    bool evicted = false;  ///< A more important call took its place in the queue.
};

/// One server's gate with what belongs to it.
struct GateEntry {
    GateEntry(std::unique_ptr<admission::ConcurrencyLimit> limit, const admission::GateOptions& options,
              boost::asio::io_context& io, const Endpoint& server, const net::HttpPoolLimits& pool)
        : gate(std::move(limit), options), client(io, server, pool) {}

    /// Wakes the waiting calls that the gate has admitted.
    void wake(const std::vector<std::uint64_t>& admitted);

    admission::ServerGate gate;
    net::HttpClient client;
    unsigned ceiling = 0;  ///< Most requests at once, by the service's row; 0 if the row has no limit.
    std::unordered_map<std::uint64_t, std::shared_ptr<WaitingCall>> waiting;
};

/// Used from the daemon's one thread.
class ServerGates {
  public:
    ServerGates(DaemonContext& context, const routing::BackendRegistry& registry)
        : context_(context), registry_(registry) {}

    /// The gate of a server, opened if there is none. A changed limit of the service's row starts it again.
    std::shared_ptr<GateEntry> gate_for(const Endpoint& server, const routing::RouteDecision& route);
    /// Blocks the fiber until the call is admitted (nothing is returned) or refused, has waited too long, or
    /// its caller has gone.
    std::optional<CallResult> wait_for_admission(GateEntry& gate, const Call& call, std::uint64_t id);
    /// Drops idle gates of servers that aren't listed any more, and sets the gates' metrics.
    void housekeep();

    std::vector<GateStatus> status() const;
    /// All zeros for a server without a gate here.
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
