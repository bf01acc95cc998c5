/// @file
/// The table daemon's choice of a server among candidates. Pure; relies on the registry for candidates and
/// their load.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "routing/backend_registry.hpp"

namespace anisehold::routing {

/// Power of two choices on load (Mitzenmacher, 2001), local zone first: calls go to other zones if the choice
/// in the local zone has no free slot and the choice in other zones has clearly less load. Returns nothing
/// without candidates.
std::optional<Candidate> choose_server(const std::vector<Candidate>& candidates, const std::string& own_zone,
                                       std::mt19937_64& random);

}  // namespace anisehold::routing
