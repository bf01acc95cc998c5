#include "config/mechanisms.hpp"

#include <array>

namespace anisehold::config {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Mechanism::kCount)> kNames{
    "retry-escrow",
    "priority-admission",
    "early-refusal",
    "gate-limit",
    "connection-hygiene",
    "outcome-truth",
    "claims",
    "claim-abstention",
    "leaving-detection",
    "drain",
    "revision-order",
    "peer-spread",
    "fleet-counts",
    "onset-reports",
    "retry-after-spread",
    "hedging",
    "repeats",
    "usual-servers",
    "zone-preference",
    "cold-servers",
    "failing-servers",
    "reach-limit",
    "rest-limit",
    "server-probe",
    "server-wait",
    "key-proof",
    "quotas"};

}  // namespace

std::string_view mechanism_name(Mechanism mechanism) {
    return kNames.at(static_cast<std::size_t>(mechanism));
}

std::optional<Mechanism> mechanism_from_name(std::string_view name) {
    for (std::size_t index = 0; index < kNames.size(); ++index) {
        if (kNames[index] == name) {
            return static_cast<Mechanism>(index);
        }
    }
    return std::nullopt;
}

std::string mechanism_names() {
    std::string text;
    for (const auto name : kNames) {
        text += text.empty() ? "" : ", ";
        text += name;
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

}  // namespace anisehold::config
