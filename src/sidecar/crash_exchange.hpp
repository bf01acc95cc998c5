/// @file
/// What this daemon and its peers know of requests that crash servers: reported to all, and kept in the
/// store.
///
/// Owns the crash ledger of this daemon. Relies on datagrams, of which some may be lost, and on the store for
/// verdicts that outlast all daemons; works without either, with less memory.
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

/// Where verdicts lie in the store: one key for each request that is condemned.
inline constexpr std::string_view kVerdictPrefix = "anisehold/verdicts/";

/// One request that is remembered, for operators.
struct RememberedRequest {
    RequestDigest digest;
    unsigned crashes = 0;
    bool is_condemned = false;
    Duration ends_in{};  ///< Until a trial, if it is condemned.
};

/// Keeps the ledger. Its changes go to all peers at once and again a little later, since datagrams get lost;
/// after that each daemon reports to one random peer a second, so that those that were cut off learn of it
/// too. A verdict is written to the store, with one call, so that it outlasts a kill of all daemons. At once:
/// with 200 ms until peers know, 4.7 servers crashed in the model in place of 3.0
/// (docs/design/suspects.md).
class CrashExchange {
  public:
    using Send = std::function<void(const Endpoint& to, std::string_view bytes)>;

    CrashExchange(SidecarContext& context, store::CoordinationStore& store,
                  membership::PeerDirectory& directory)
        : context_(context), store_(store), directory_(directory) {}

    void start(Send send);

    /// Crashes in a row that are known of the request; 0 for nearly all.
    unsigned crashes_of(TimePoint now, const RequestIdentity& request) const {
        return suspects::crashesOf(ledger_, now, request);
    }
    bool is_condemned(TimePoint now, const RequestIdentity& request) const {
        return suspects::isCondemned(ledger_, now, request);
    }
    /// The requests that are condemned or suspected, those with the most crashes first.
    std::vector<RememberedRequest> remembered(TimePoint now) const;

    /// The server beside crashed with these running.
    void on_crash(const std::vector<suspects::CrashedRun>& runs);
    /// A gate reported so many crashes of a request with its result.
    void on_reported_crashes(const RequestIdentity& request, unsigned crashes);
    /// A server gave the request a whole answer.
    void on_answered(const RequestIdentity& request);
    void on_report(const suspects::CrashReport& report);
    /// A peer has just started, or was cut off: it gets the whole report.
    void on_peer_appeared(const Endpoint& gossip);
    /// Items of the store below `kVerdictPrefix`; `may_remove`: this daemon clears away those that are over.
    void on_stored(const std::vector<store::StoreItem>& items, bool may_remove);
    /// An operator wants the request to be sent again; false if nothing is known of it.
    bool lift(const RequestDigest& digest);

  private:
    /// Takes one chain of crashes in; true if the request is condemned because of it.
    bool raise(const RequestIdentity& request, unsigned crashes, Duration age, const char* source);
    void report_changes();
    void report_to_one_periodically();
    void report_to_all();
    /// Writes the verdict; tries again until it is there or no longer holds. Blocks its fiber.
    void keep_verdict(const RequestIdentity& request);
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
