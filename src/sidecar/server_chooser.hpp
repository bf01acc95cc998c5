/// @file
/// Chooses the server of each attempt: gathers what is known of the service's servers, and asks the rule.
#pragma once

#include <string>
#include <vector>

#include "membership/peer_directory.hpp"
#include "protocol/request_digest.hpp"
#include "selection/return_trial.hpp"
#include "selection/server_selection.hpp"
#include "sidecar/crash_exchange.hpp"
#include "sidecar/local_gate.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// The rules are `selection::startDueTrial`, `selection::chooseServer` and, for a request under which servers
/// have crashed, `suspects::chooseForSuspect`. Owns what this daemon has seen of servers itself.
class ServerChooser {
  public:
    ServerChooser(SidecarContext& context, membership::PeerDirectory& directory, const LocalGate& gate,
                  const CrashExchange& crashes);

    /// The server that the request is sent to next, or null if there is none. `tried`: instances that had it
    /// before; `running`: attempts that haven't ended; `may_retry`: whether it may be sent again, and so may
    /// show that a server which failed is back. The result holds until the next call.
    const membership::KnownServer* choose(TimePoint now, const std::string& service,
                                          const RequestIdentity& identity,
                                          const std::vector<std::string>& tried, unsigned running,
                                          bool may_retry);
    /// The request was sent to the server.
    void on_sent(const std::string& instance) { selection::recordSent(selection_, instance); }
    /// Its attempt there ended.
    void on_ended(TimePoint now, const std::string& instance, const selection::AttemptResult& end);

  private:
    /// Servers beside peers, and the one beside this daemon, that haven't said that they leave. Holds until
    /// the next call.
    membership::ServiceView candidates(const std::string& service, TimePoint now);
    /// What a server said in an answer binds this daemon, whatever the record of its peer says.
    void drop_leaving(membership::ServiceView& view);
    void add_own_servers(membership::ServiceView& view, const std::string& service, TimePoint now);

    /// A server that failed and is due to be tried again, by a request that was sent to none so far.
    const membership::KnownServer* take_trial(TimePoint now, const membership::ServiceView& view);
    /// Says which servers that failed get no requests, and what keeps them from it.
    void log_passed_over(TimePoint now, const membership::ServiceView& view,
                         const membership::KnownServer& chosen);

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    const LocalGate& gate_;
    const CrashExchange& crashes_;
    selection::SelectionState selection_;
    selection::ReturnTrials trials_;
    TimePoint next_passed_over_line_;
    std::vector<membership::KnownServer> own_servers_;  ///< What the last candidates point to.
};

}  // namespace anisehold::sidecar
