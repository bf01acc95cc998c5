/// @file
/// Shares knowledge of requests that crash servers: reports to all peers, and verdicts in the store.
///
/// Owns the crash ledger of this daemon. Relies on datagrams, which may be lost, and on the store for
/// verdicts that outlive all daemons; without them it still works, but with less memory of past crashes.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/peer_directory.hpp"
#include "net/fiber_signal.hpp"
#include "sidecar/sidecar_context.hpp"
#include "store/coordination_store.hpp"
#include "suspects/crash_ledger.hpp"
#include "suspects/crash_report.hpp"

namespace anisehold::sidecar {

/// Prefix of the verdict keys in the store; each condemned request has one key.
inline constexpr std::string_view kVerdictPrefix = "anisehold/verdicts/";

/// A request in the ledger, as shown to operators.
struct KnownRequest {
    RequestDigest digest;
    unsigned crashes = 0;
    bool is_condemned = false;
    Duration ends_in{};  ///< Time until the request may run again as a trial, if it is condemned.
};

/// Maintains the ledger. Changes are sent to all peers at once and repeated a little later, since datagrams
/// get lost; in addition each daemon reports to one random peer a second, so that peers that were cut off
/// catch up. Changes are sent at once because a delay of 200 ms raised the crashed servers from 3.0 to 4.7 in
/// the model (docs/design/suspects.md). A verdict is written to the store with one call, so that it outlives
/// a kill of all daemons.
class CrashExchange {
  public:
    using Send = std::function<void(const Endpoint& to, std::string_view bytes)>;

    CrashExchange(SidecarContext& context, store::CoordinationStore& store,
                  membership::PeerDirectory& directory)
        : context_(context), store_(store), directory_(directory) {}

    void start(Send send);

    /// Number of known consecutive crashes of the request; 0 for nearly all requests.
    unsigned crashes_of(TimePoint now, const RequestIdentity& request) const {
        return suspects::crashesOf(ledger_, now, request);
    }
    bool is_condemned(TimePoint now, const RequestIdentity& request) const {
        return suspects::isCondemned(ledger_, now, request);
    }
    /// All condemned and suspected requests, those with the most crashes first.
    std::vector<KnownRequest> remembered(TimePoint now) const;

    /// Records that the local server crashed while `runs` were in progress.
    void on_crash(const std::vector<suspects::CrashedRun>& runs);
    /// Records the crash count that a gate returned with its result.
    void on_reported_crashes(const RequestIdentity& request, unsigned crashes);
    /// Records that a server returned a complete response to the request.
    void on_answered(const RequestIdentity& request);
    void on_report(const suspects::CrashReport& report);
    /// Sends the whole report to a peer that has started or become reachable again.
    void on_peer_appeared(const Endpoint& gossip);
    /// Processes the store items below `kVerdictPrefix`. `may_remove`: whether this daemon deletes expired
    /// ones.
    void on_stored(const std::vector<store::StoreItem>& items, bool may_remove);
    /// Clears the request on behalf of an operator, so that it may be sent again; returns false if nothing is
    /// known about it.
    bool lift(const RequestDigest& digest);

  private:
    /// Records a series of crashes; returns true if it condemned the request.
    bool record_crashes(const RequestIdentity& request, unsigned crashes, Duration age, const char* source);
    void report_changes();
    void report_to_one_periodically();
    void report_to_all();
    /// Writes the verdict, and retries until the write succeeds or the verdict expires. Blocks its fiber.
    void store_verdict(const RequestIdentity& request);
    void remove_verdict(const RequestDigest& digest);
    void set_metrics(TimePoint now) const;

    SidecarContext& context_;
    store::CoordinationStore& store_;
    membership::PeerDirectory& directory_;
    Send send_;
    suspects::CrashLedger ledger_;
    net::FiberSignal changed_;
};

}  // namespace anisehold::sidecar
