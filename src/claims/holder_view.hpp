/// @file
/// The agreed view of which daemons hold claims, and which three of them hold a given key. Kept in the store
/// as JSON. Pure functions over plain structs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anisehold::claims {

/// One process that holds claims. A restarted process has a different boot id and counts as a different
/// holder.
struct Holder {
    std::string id;
    std::uint64_t boot_id = 0;
    std::string zone;

    bool operator==(const Holder&) const = default;
};

/// The holders under one epoch, and the holders that they take over from.
struct HolderView {
    std::uint64_t epoch = 0;
    std::vector<Holder> holders;
    std::vector<Holder> previous;  ///< Holders under `epoch - 1`; empty only for the very first view.
};

/// Number of holders per key: if one fails, the other two can still decide.
inline constexpr std::size_t kHoldersPerKey = 3;

/// Smallest number that is more than half of `holders`.
constexpr std::size_t majority_of(std::size_t holders) {
    return holders / 2 + 1;
}

/// Returns the holders of `key`: ranked by rendezvous hash, in different zones if there are enough zones.
std::vector<Holder> holders_of_key(const std::vector<Holder>& holders, std::string_view key);

/// Whether the grants made under `holders` are fully known without those in `missing`: every majority of
/// every key's holders includes one that is not missing.
bool can_reconstruct_grants(const std::vector<Holder>& holders, const std::vector<Holder>& missing);

/// Returns the holders that a fleet should have: up to `per_zone` in each zone, keeping current holders.
std::vector<Holder> choose_holders(const std::vector<Holder>& current, const std::vector<Holder>& working,
                                   std::size_t per_zone);

/// JSON form kept in the store.
std::string to_json_text(const HolderView& view);
/// Parses a view; false if the text is invalid.
bool parse_holder_view(std::string_view json_text, HolderView& view);

}  // namespace anisehold::claims
