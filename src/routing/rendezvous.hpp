/// @file
/// Rendezvous (highest random weight) hashing: all daemons choose the same candidate for a key without a
/// message, and a candidate that goes moves only its own keys. Pure. All daemons of a fleet must score alike.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anisehold::routing {

/// Score of `candidate` for `key`; the highest wins.
std::uint64_t rendezvous_score(std::string_view candidate, std::string_view key);

/// Indexes of `candidates` in descending order of score for `key`.
std::vector<std::size_t> rendezvous_order(const std::vector<std::string>& candidates, std::string_view key);

}  // namespace anisehold::routing
