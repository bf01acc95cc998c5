/// @file
/// What the membership knows of the processes that hold claims. Owns nothing; a holder is one process, so a
/// member with its id and another boot id is a later process.
#pragma once

#include <optional>
#include <vector>

#include "claims/holder_view.hpp"
#include "daemon/membership_service.hpp"

namespace anisehold::daemon {

std::vector<claims::Holder> as_holders(const std::vector<membership::MemberRecord>& records);

/// Where the holder's process takes peer requests; nothing if it is unknown or another process has its id.
std::optional<Endpoint> address_of(const MembershipService& membership, const claims::Holder& holder);

/// Whether the holder's process is known to have ended: it left, or another process has its id. A member that
/// is merely dead may come back.
bool has_ended(const MembershipService& membership, const claims::Holder& holder);

/// Whether the holder's process announced its stop.
bool has_announced_stop(const MembershipService& membership, const claims::Holder& holder);

}  // namespace anisehold::daemon
