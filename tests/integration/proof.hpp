/// @file
/// What all proofs share: a proof is run with all mechanisms, or, to show that it can fail, without one.
#pragma once

#include <cstdlib>
#include <string>
#include <vector>

#include "tests/support/fleet.hpp"

namespace anisehold::testing {

/// Mechanisms to switch off in this run, from the environment variable ANISEHOLD_WITHOUT.
inline std::vector<std::string> mechanisms_off() {
    const char* name = std::getenv("ANISEHOLD_WITHOUT");
    return name == nullptr || *name == '\0' ? std::vector<std::string>{} : std::vector<std::string>{name};
}

/// Options of a proof's fleet.
inline FleetOptions proof_options(const std::string& deployment, std::uint16_t base_port) {
    FleetOptions options;
    options.deployment = deployment;
    options.base_port = base_port;
    options.without = mechanisms_off();
    return options;
}

/// The largest count in a map of counts.
inline unsigned largest(const std::map<std::string, unsigned>& counts) {
    unsigned most = 0;
    for (const auto& [name, count] : counts) {
        most = std::max(most, count);
    }
    return most;
}

}  // namespace anisehold::testing
