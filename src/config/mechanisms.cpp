#include "config/mechanisms.hpp"

#include <algorithm>
#include <array>

namespace anisehold::config {
namespace {

struct Entry {
    Mechanism mechanism;
    std::string_view name;
};

/// In the order of the enum.
constexpr std::array kEntries{Entry{Mechanism::kRetryEscrow, "retry-escrow"},
                              Entry{Mechanism::kPriorityAdmission, "priority-admission"},
                              Entry{Mechanism::kEarlyRefusal, "early-refusal"},
                              Entry{Mechanism::kGateLimit, "gate-limit"},
                              Entry{Mechanism::kConnectionHygiene, "connection-hygiene"},
                              Entry{Mechanism::kExactOutcomes, "outcome-truth"},
                              Entry{Mechanism::kClaims, "claims"},
                              Entry{Mechanism::kClaimAbstention, "claim-abstention"},
                              Entry{Mechanism::kLeavingDetection, "leaving-detection"},
                              Entry{Mechanism::kGracefulDrain, "drain"},
                              Entry{Mechanism::kRevisionOrder, "revision-order"},
                              Entry{Mechanism::kPeerDistribution, "peer-spread"},
                              Entry{Mechanism::kFleetWideCounts, "fleet-counts"},
                              Entry{Mechanism::kOverloadOnsetReports, "onset-reports"},
                              Entry{Mechanism::kRetryAfterJitter, "retry-after-spread"},
                              Entry{Mechanism::kHedging, "hedging"},
                              Entry{Mechanism::kRetries, "repeats"},
                              Entry{Mechanism::kPreferredServers, "usual-servers"},
                              Entry{Mechanism::kZonePreference, "zone-preference"},
                              Entry{Mechanism::kColdServerWeighting, "cold-servers"},
                              Entry{Mechanism::kFailingServerWeighting, "failing-servers"},
                              Entry{Mechanism::kConnectBackoff, "reach-limit"},
                              Entry{Mechanism::kIdleConnectionLimit, "rest-limit"},
                              Entry{Mechanism::kStartupServerProbe, "server-probe"},
                              Entry{Mechanism::kStartupServerWait, "server-wait"},
                              Entry{Mechanism::kKeyFreshness, "key-proof"},
                              Entry{Mechanism::kQuotas, "quotas"},
                              Entry{Mechanism::kSlotReservation, "slot-reservation"},
                              Entry{Mechanism::kCapacityForecast, "capacity-forecast"},
                              Entry{Mechanism::kGateRetryBudget, "gate-retry-budget"},
                              Entry{Mechanism::kCallAttribution, "call-attribution"},
                              Entry{Mechanism::kCallerFairness, "caller-fairness"},
                              Entry{Mechanism::kReturningCallers, "returning-callers"},
                              Entry{Mechanism::kServerSpeed, "server-speed"}};
static_assert(kEntries.size() == static_cast<std::size_t>(Mechanism::kCount));

}  // namespace

std::string_view mechanism_name(Mechanism mechanism) {
    return kEntries.at(static_cast<std::size_t>(mechanism)).name;
}

std::optional<Mechanism> mechanism_from_name(std::string_view name) {
    const auto* found = std::find_if(kEntries.begin(), kEntries.end(),
                                     [&](const Entry& entry) { return entry.name == name; });
    return found == kEntries.end() ? std::nullopt : std::optional(found->mechanism);
}

std::string mechanism_names() {
    std::string text;
    for (const auto& entry : kEntries) {
        text += text.empty() ? "" : ", ";
        text += entry.name;
    }
    return text;
}

MechanismSet::MechanismSet(const std::vector<std::string>& without) : MechanismSet() {
    for (const auto& name : without) {
        if (const auto mechanism = mechanism_from_name(name)) {
            enabled_.reset(static_cast<std::size_t>(*mechanism));
        }
    }
}

void MechanismSet::disable_shortage_mechanisms() {
    constexpr std::array shortage_mechanisms{Mechanism::kSlotReservation, Mechanism::kCapacityForecast,
                                             Mechanism::kGateRetryBudget, Mechanism::kCallAttribution,
                                             Mechanism::kCallerFairness,  Mechanism::kReturningCallers,
                                             Mechanism::kServerSpeed};
    for (const auto mechanism : shortage_mechanisms) {
        enabled_.reset(static_cast<std::size_t>(mechanism));
    }
}

}  // namespace anisehold::config
