/// @file
/// Keys of the daemons' registrations in the store, and their listing.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sidecar/crash_exchange.hpp"
#include "sidecar/sidecar_context.hpp"
#include "sidecar/store_link.hpp"

namespace anisehold::sidecar {

/// Prefix of registration keys; followed by the daemon's name. The value is the gossip address for records of
/// peers.
inline constexpr std::string_view kMemberPrefix = "anisehold/members/";

inline std::string member_key(const std::string& name) {
    return std::string(kMemberPrefix) + name;
}

/// Lists everything that the daemons keep in the store, with as many calls as the members alone would take.
/// Passes verdicts to `crashes` and returns the members, or nothing if the store failed to serve a call.
/// Blocks the fiber.
std::optional<std::vector<store::StoreItem>> list_members(const SidecarContext& context, StoreLink& link,
                                                          CrashExchange& crashes, store::ReadMode mode);

}  // namespace anisehold::sidecar
