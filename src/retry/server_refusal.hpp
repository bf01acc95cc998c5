/// @file
/// Decides whether a server's statement that it did not run a call proves that it had not begun the call.
/// Only with that proof may a non-repeatable call go to another server and its idempotency key be reused.
/// Part of `anisehold serve`; relies on what the gate observed of the call. Pure.
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::retry {

/// What the gate knows when a server states that it did not run a call.
struct ServerRefusal {
    bool made_calls = false;  ///< The home ledger has nested calls that the server made for this call.
    Duration held{};          ///< Time from sending the call to receiving the refusal.
    bool time_is_up = false;  ///< The call's deadline has passed.
};

/// Upper bound of the time for a refusal that a server decides on when the call arrives: several round trips
/// within a site. Work takes longer, so a later refusal may concern work that the server had begun and
/// abandoned.
inline constexpr milliseconds kMaxImmediateRefusalTime{20};

/// Whether the server cannot have begun the call. Servers also report "not run" when they give up after a
/// nested call was refused or no time was left; when such calls were run again at the next server, one key
/// was begun at twelve servers.
inline bool proves_not_begun(const ServerRefusal& refusal) {
    return !refusal.made_calls && !refusal.time_is_up && refusal.held <= kMaxImmediateRefusalTime;
}

}  // namespace anisehold::retry
