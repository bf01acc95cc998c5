/// @file
/// Where the daemons' registrations lie in the store, and how they are listed.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sidecar/crash_exchange.hpp"
#include "sidecar/sidecar_context.hpp"
#include "sidecar/store_link.hpp"

namespace anisehold::sidecar {

/// A registration's key is this and the daemon's name; its value, the address for peers' records.
inline constexpr std::string_view kMemberPrefix = "anisehold/members/";

inline std::string member_key(const std::string& name) {
    return std::string(kMemberPrefix) + name;
}

/// Lists all that the daemons keep in the store, with as many calls as members alone take. Verdicts go to
/// `crashes`; members are returned, or nothing if the store didn't serve all calls. Blocks the fiber.
std::optional<std::vector<store::StoreItem>> list_members(const SidecarContext& context, StoreLink& link,
                                                          CrashExchange& crashes, store::ReadMode mode);

}  // namespace anisehold::sidecar
