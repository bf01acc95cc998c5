/// @file
/// Relates claim holders to the membership. Owns nothing. A holder is one process: a member with the same id
/// and another boot id is a later process.
#pragma once

#include <optional>
#include <vector>

#include "claims/holder_view.hpp"
#include "daemon/membership_service.hpp"

namespace anisehold::daemon {

std::vector<claims::Holder> as_holders(const std::vector<membership::MemberRecord>& records);

/// Peer address of the holder's process; nothing if the holder is unknown or another process has its id.
std::optional<Endpoint> address_of(const MembershipService& membership, const claims::Holder& holder);

/// Whether the holder's process is known to have ended: the member left, or another process has its id. A
/// member in state dead may return.
bool has_ended(const MembershipService& membership, const claims::Holder& holder);

/// Whether the holder's process announced a planned stop.
bool has_announced_stop(const MembershipService& membership, const claims::Holder& holder);

}  // namespace anisehold::daemon
