/// @file
/// Common parts of the proofs: a proof runs with all mechanisms, or without one of them to show that the
/// proof can fail.
#pragma once

#include <cstdlib>
#include <string>
#include <vector>

#include "tests/support/fleet.hpp"

namespace anisehold::testing {

/// Mechanisms to disable in this run, from the environment variable ANISEHOLD_WITHOUT.
inline std::vector<std::string> mechanisms_off() {
    const char* name = std::getenv("ANISEHOLD_WITHOUT");
    return name == nullptr || *name == '\0' ? std::vector<std::string>{} : std::vector<std::string>{name};
}

/// Returns the options of a proof's fleet.
inline FleetOptions proof_options(const std::string& deployment, std::uint16_t base_port) {
    FleetOptions options;
    options.deployment = deployment;
    options.base_port = base_port;
    options.without = mechanisms_off();
    return options;
}

/// Returns the largest count in a map of counts.
inline unsigned largest(const std::map<std::string, unsigned>& counts) {
    unsigned largest_count = 0;
    for (const auto& [name, count] : counts) {
        largest_count = std::max(largest_count, count);
    }
    return largest_count;
}

}  // namespace anisehold::testing
