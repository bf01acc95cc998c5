/// @file
/// What a table daemon knows about servers: listed state, observed failures, and the load reported by gates.
/// Owns this state; relies on the machine list for the set of servers. Decides which servers may get new
/// work.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "admission/server_gate.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::routing {

/// One entry of the machine list.
struct ListedServer {
    Endpoint endpoint;
    std::string service;
    std::string zone;
    bool leaving = false;
};

/// A server that may get new work.
struct Candidate {
    Endpoint endpoint;
    std::string zone;
    double load = 0;  ///< Outstanding calls divided by the limit; above 1, calls wait.
};

/// Outcome of an exchange with a server, for ejection.
enum class ServerOutcome { kSuccess, kFailure };

/// Tracks which servers of a service may get new work. Pure.
class BackendRegistry {
  public:
    /// Installs a new machine list. Servers that are no longer listed get no new work.
    void update_list(TimePoint now, const std::vector<ListedServer>& servers);
    /// The server reported that it is leaving (health endpoint or `Connection: close`).
    void mark_leaving(TimePoint now, const Endpoint& server);
    void on_outcome(TimePoint now, const Endpoint& server, ServerOutcome outcome);
    void on_dispatch(const Endpoint& server);
    void on_finish(const Endpoint& server);
    /// Load that the server's gate reported with a response.
    void on_report(TimePoint now, const Endpoint& server, const admission::GateLoad& load);

    /// Returns the servers of `service` that may get new work, without those in `excluded`.
    std::vector<Candidate> candidates(TimePoint now, const std::string& service,
                                      const std::vector<Endpoint>& excluded) const;
    /// Returns the listed entry of a server, or null.
    const ListedServer* find(const Endpoint& server) const;
    std::vector<ListedServer> servers() const;
    bool is_leaving(TimePoint now, const Endpoint& server) const;
    bool is_ejected(TimePoint now, const Endpoint& server) const;

    /// How long a server counts as leaving after it last reported so. The list, which lags behind, has marked
    /// the server by then. A health endpoint that reports the opposite in the meantime is ignored.
    static constexpr seconds kLeavingDuration{60};

  private:
    struct Server {
        ListedServer listed;
        TimePoint first_seen;
        TimePoint leaving_until;
        unsigned outstanding = 0;
        unsigned failures_in_row = 0;
        unsigned ejections = 0;
        TimePoint ejected_until;
        admission::GateLoad reported;
        TimePoint reported_at;
    };

    double load_of(TimePoint now, const Server& server) const;

    std::map<Endpoint, Server> servers_;
    bool list_seen_ = false;
};

}  // namespace anisehold::routing
