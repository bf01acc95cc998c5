/// @file
/// The fixed list of mechanisms that the lab may switch off, to show the purpose of each. Owns their names in
/// settings, some of which differ from the names here; the code of each mechanism checks whether the
/// mechanism is enabled.
#pragma once

#include <bitset>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anisehold::config {

/// A mechanism behind one of the product's guarantees. Each comment describes the behavior with the mechanism
/// switched off.
enum class Mechanism {
    kRetryEscrow,        ///< Off: retries aren't bounded across the call chain of a root request.
    kPriorityAdmission,  ///< Off: gates admit calls in order of arrival only.
    kEarlyRefusal,       ///< Off: root requests for a service without capacity aren't refused at the edge.
    kGateLimit,          ///< Off: gates admit any number of concurrent requests to their server.
    kConnectionHygiene,  ///< Off: connections are reused even after a failed or incomplete exchange.
    kExactOutcomes,      ///< Off: a request that may have run is reported as not run.
    kClaims,             ///< Off: non-repeatable requests are sent without a claim.
    kClaimAbstention,    ///< Off: a claim holder grants claims immediately after a restart.
    kLeavingDetection,   ///< Off: servers that are leaving receive new requests.
    kGracefulDrain,      ///< Off: a planned stop doesn't wait for requests in flight.
    kRevisionOrder,      ///< Off: an older revision of a document replaces a newer one.
    kPeerDistribution,   ///< Off: documents come only from the store, not from peers.
    // The following apply to the sidecar only.
    kFleetWideCounts,         ///< Off: early refusal uses only this daemon's own counts.
    kOverloadOnsetReports,    ///< Off: the first refusals after a period without any aren't reported
                              ///< immediately.
    kRetryAfterJitter,        ///< Off: all early refusals name the same Retry-After time.
    kHedging,                 ///< Off: no second attempt is started while an attempt is slow.
    kRetries,                 ///< Off: no request is retried. "repeats" in settings.
    kPreferredServers,        ///< Off: a daemon has no preferred servers of a service.
    kZonePreference,          ///< Off: servers in the local zone aren't preferred.
    kColdServerWeighting,     ///< Off: recently started servers get their full share.
    kFailingServerWeighting,  ///< Off: failing servers get their full share.
    kConnectBackoff,          ///< Off: every request tries an unreachable server again. "reach-limit".
    kIdleConnectionLimit,     ///< Off: pooled connections are reused regardless of idle time. "rest-limit".
    kStartupServerProbe,      ///< Off: a starting daemon waits for the local server's heartbeat.
    kStartupServerWait,       ///< Off: after a start, requests fail immediately if no server is known yet.
    kKeyFreshness,            ///< Off: requests with keys are served regardless of the configuration's age.
    kQuotas,                  ///< Off: tenant quotas aren't enforced.
    // The following are off unless the deployment must bear the loss of a zone (`tolerate.zones`).
    kSlotReservation,   ///< Off: a request is sent to a gate before the gate has a slot for it.
    kCapacityForecast,  ///< Off: the limit of root requests follows refusals and utilization only.
    kGateRetryBudget,   ///< Off: each daemon spends its own part of the retry budget, first come, first
                        ///< served.
    kCallAttribution,   ///< Off: a server's calls aren't related to the requests that they are made for.
    kCallerFairness,    ///< Off: capacity isn't divided among zones and tenants.
    kReturningCallers,  ///< Off: a request that was refused before has no precedence.
    kServerSpeed,       ///< Off: the present speed that servers state is ignored.
    kCount,
};

/// Stable name, as used in the setting `lab.without`: "retry-escrow".
std::string_view mechanism_name(Mechanism mechanism);
/// Returns nothing for an unknown name.
std::optional<Mechanism> mechanism_from_name(std::string_view name);
/// All names as one text, for error messages.
std::string mechanism_names();

/// The enabled mechanisms. Outside the lab all mechanisms that the deployment calls for are enabled.
class MechanismSet {
  public:
    MechanismSet() { enabled_.set(); }
    /// Enables all mechanisms except the named ones. Unknown names are ignored, because the settings are
    /// checked earlier.
    explicit MechanismSet(const std::vector<std::string>& without);

    /// Disables the mechanisms for deployments that must bear the loss of a zone.
    void disable_shortage_mechanisms();

    bool has(Mechanism mechanism) const { return enabled_.test(static_cast<std::size_t>(mechanism)); }

  private:
    std::bitset<static_cast<std::size_t>(Mechanism::kCount)> enabled_;
};

}  // namespace anisehold::config
