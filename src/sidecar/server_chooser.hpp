/// @file
/// Chooses the server of each attempt: collects the known servers of the service and applies the selection
/// rules.
#pragma once

#include <set>
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

/// Applies `selection::startDueTrial`, `selection::chooseServer` and, for a request that is suspected of
/// crashing servers, `suspects::chooseForSuspect`. Owns the failure history that this daemon has observed
/// itself.
class ServerChooser {
  public:
    ServerChooser(SidecarContext& context, membership::PeerDirectory& directory, const LocalGate& gate,
                  const CrashExchange& crashes);

    /// Returns the server for the next attempt, or null if there is none. `tried`: instances already tried;
    /// `running`: number of pending attempts; `may_retry`: whether the request may be sent again, so that it
    /// can be used as a trial of a server that failed. The result is valid until the next call.
    const membership::KnownServer* choose(TimePoint now, const std::string& service,
                                          const RequestIdentity& identity,
                                          const std::vector<std::string>& tried, unsigned running,
                                          bool may_retry);
    /// Returns the server for the repetition of a request among those that have declined it; null if there is
    /// none. Valid until the next call.
    const membership::KnownServer* choose_again(TimePoint now, const std::string& service,
                                                const RequestIdentity& identity,
                                                const std::set<std::string>& declined);
    /// Records that an attempt was sent to the server.
    void on_sent(const std::string& instance) { selection::recordSent(selection_, instance); }
    /// Records the end of an attempt at the server.
    void on_ended(TimePoint now, const std::string& instance, const selection::AttemptResult& end);

  private:
    /// Returns the servers of peers and the local servers, without those that announced that they are
    /// leaving. Valid until the next call.
    membership::ServiceView candidates(const std::string& service, TimePoint now);
    /// Removes servers that announced in a response that they are leaving, even if the peer's record says
    /// otherwise.
    void remove_leaving(membership::ServiceView& view);
    void add_local_servers(membership::ServiceView& view, const std::string& service, TimePoint now);

    /// Returns a failed server that is due for a trial; used for requests that have not been sent yet.
    const membership::KnownServer* start_trial(TimePoint now, const membership::ServiceView& view);
    /// Logs which servers are avoided because of failures, and why.
    void log_avoided_servers(TimePoint now, const membership::ServiceView& view,
                             const membership::KnownServer& chosen);

    SidecarContext& context_;
    membership::PeerDirectory& directory_;
    const LocalGate& gate_;
    const CrashExchange& crashes_;
    selection::SelectionState selection_;
    selection::ReturnTrials trials_;
    TimePoint next_avoided_log_;
    /// Storage for the local servers in the last candidates.
    std::vector<membership::KnownServer> local_servers_;
};

}  // namespace anisehold::sidecar
