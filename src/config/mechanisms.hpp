/// @file
/// The closed list of mechanisms that the lab may switch off, to show what each is for.
#pragma once

#include <bitset>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anisehold::config {

/// A mechanism behind one of the product's promises.
enum class Mechanism {
    kRetryEscrow,        ///< Retries bounded over the chain.
    kPriorityAdmission,  ///< Shed by priority at the gate.
    kEarlyRefusal,       ///< Refusal of new roots at the ingress.
    kGateLimit,          ///< The learned concurrency limit.
    kConnectionHygiene,  ///< Broken exchanges are never pooled; short answers are never whole.
    kOutcomeTruth,       ///< "Not run" only where it is known.
    kClaims,             ///< At most once by quorum of claims.
    kClaimAbstention,    ///< A restarted claim holder abstains.
    kLeavingDetection,   ///< Leaving servers get no new work.
    kDrain,              ///< A planned stop waits for what is in flight.
    kRevisionOrder,      ///< Only a higher table revision is taken.
    kPeerSpread,         ///< Documents spread between peers.
    // Of the sidecar alone.
    kFleetCounts,       ///< Early refusal rests on all daemons' counts, not on the own ones.
    kOnsetReports,      ///< The first refusals after a calm time are told at once.
    kRetryAfterSpread,  ///< Early refusals name different times to come back.
    kHedging,           ///< A slow attempt is joined by another one.
    kRetries,           ///< Requests are sent again within the budget.
    kUsualServers,      ///< Each daemon prefers a few servers of each service.
    kZonePreference,    ///< Servers of the own zone are preferred.
    kColdServers,       ///< Servers that have just started get less.
    kFailingServers,    ///< Servers that fail get less.
    kConnectBackoff,    ///< Servers that can't be connected to are passed over.
    kIdleLimit,         ///< Connections that a server forgets rest less long.
    kServerProbe,       ///< A daemon that starts asks the server beside it for its health.
    kServerWait,        ///< Requests wait for servers to be heard of after a start.
    kKeyProof,          ///< Keyed requests need a recent proof that the configuration is the newest.
    kQuotas,            ///< Tenants are held to their quotas.
    kCount,
};

/// Stable name, as used in settings: "retry-escrow".
std::string_view mechanism_name(Mechanism mechanism);
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
