/// @file
/// Rendezvous (highest random weight) hashing.
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
