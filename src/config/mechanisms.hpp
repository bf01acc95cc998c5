/// @file
/// The closed list of mechanisms that the lab may switch off, to show what each is for. Owns their names in
/// settings, which are older than some of the names here; each mechanism's own code asks whether it is on.
#pragma once

#include <bitset>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anisehold::config {

/// A mechanism behind one of the product's promises. Each line says what happens with it off.
enum class Mechanism {
    kRetryEscrow,        ///< Off: retries aren't bounded over the chain of a root request.
    kPriorityAdmission,  ///< Off: gates admit by time of arrival alone.
    kEarlyRefusal,       ///< Off: root requests for a service without capacity aren't refused at the edge.
    kGateLimit,          ///< Off: gates let any number of requests run at their server.
    kConnectionHygiene,  ///< Off: connections are kept for later requests whatever became of the exchange.
    kExactOutcomes,      ///< Off: a request that may have run is reported as not run.
    kClaims,             ///< Off: non-repeatable requests are sent without a claim.
    kClaimAbstention,    ///< Off: a claim holder that restarted grants claims at once.
    kLeavingDetection,   ///< Off: servers that are leaving get new requests.
    kGracefulDrain,      ///< Off: a planned stop doesn't wait for requests in flight.
    kRevisionOrder,      ///< Off: an older revision of a document replaces a newer one.
    kPeerDistribution,   ///< Off: documents come from the store alone, not from peers.
    // Of the sidecar alone.
    kFleetWideCounts,         ///< Off: early refusal goes by this daemon's own counts alone.
    kOverloadOnsetReports,    ///< Off: the first refusals after a calm time aren't reported at once.
    kRetryAfterJitter,        ///< Off: early refusals all name the same time to come back.
    kHedging,                 ///< Off: a slow attempt isn't joined by another one.
    kRetries,                 ///< Off: no request is sent again. "repeats" in settings.
    kPreferredServers,        ///< Off: a daemon prefers none of a service's servers.
    kZonePreference,          ///< Off: servers of the own zone aren't preferred.
    kColdServerWeighting,     ///< Off: servers that have just started get their full share.
    kFailingServerWeighting,  ///< Off: servers that fail get their full share.
    kConnectBackoff,          ///< Off: a server that can't be connected to is tried each time. "reach-limit".
    kIdleConnectionLimit,     ///< Off: kept connections are used however long they were idle. "rest-limit".
    kStartupServerProbe,      ///< Off: a starting daemon waits for the heartbeat of the server beside it.
    kStartupServerWait,       ///< Off: after a start, requests fail at once if no server is known yet.
    kKeyFreshness,            ///< Off: requests with keys are served however old the configuration may be.
    kQuotas,                  ///< Off: tenants aren't held to their quotas.
    kCount,
};

/// Stable name, as in the setting `lab.without`: "retry-escrow".
std::string_view mechanism_name(Mechanism mechanism);
/// Nothing for an unknown name.
std::optional<Mechanism> mechanism_from_name(std::string_view name);
/// All names, for messages.
std::string mechanism_names();

/// Which mechanisms are in force. All are, outside the lab.
class MechanismSet {
  public:
    MechanismSet() { enabled_.set(); }
    /// All but those named; unknown names are ignored (settings are checked before).
    explicit MechanismSet(const std::vector<std::string>& without);

    bool has(Mechanism mechanism) const { return enabled_.test(static_cast<std::size_t>(mechanism)); }

  private:
    std::bitset<static_cast<std::size_t>(Mechanism::kCount)> enabled_;
};

}  // namespace anisehold::config
