/// @file
/// Rendezvous (highest random weight) hashing: all daemons choose the same candidate for a key without
/// exchanging messages, and removing a candidate moves only its own keys. Pure. All daemons of a fleet must
/// compute the same scores.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anisehold::routing {

/// Returns the score of `candidate` for `key`; the highest wins.
std::uint64_t rendezvous_score(std::string_view candidate, std::string_view key);

/// Returns the indexes of `candidates` in descending order of score for `key`.
std::vector<std::size_t> rendezvous_order(const std::vector<std::string>& candidates, std::string_view key);

}  // namespace anisehold::routing
