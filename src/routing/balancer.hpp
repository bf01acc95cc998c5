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

/// Power of two choices on load (Mitzenmacher, 2001), own zone first: calls spill to other zones when the
/// choice in the own zone has no free slot and another zone's is clearly less loaded. Nothing without
/// candidates.
std::optional<Candidate> choose_server(const std::vector<Candidate>& candidates, const std::string& own_zone,
                                       std::mt19937_64& random);

}  // namespace anisehold::routing
