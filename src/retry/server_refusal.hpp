/// @file
/// Whether a server's word that it didn't run a call proves that it hadn't begun it. A call that may not be
/// repeated goes to another server, and its idempotency key is free again, only with that proof. Part of
/// `anisehold serve`; relies on the gate for what it saw of the call. Pure.
#pragma once

#include "protocol/time_types.hpp"

namespace anisehold::retry {

/// What the gate knows when a server answers that it didn't run a call.
struct ServerRefusal {
    bool made_calls = false;  ///< The server made calls for it, as the home ledger tells.
    Duration held{};          ///< From when the call was sent to when the refusal came.
    bool time_is_up = false;  ///< The call's deadline is over.
};

/// How long a refusal takes at most that a server decides on as the call arrives: several round trips within
/// a site. Work takes longer, so what a server says later may be said of work that it gave up.
inline constexpr milliseconds kMaxImmediateRefusalTime{20};

/// Whether the server can't have begun the call. Servers say "not run" also where they gave up after a call
/// of their own was refused or found no time left; run again at the next server, one key was begun at twelve.
inline bool proves_not_begun(const ServerRefusal& refusal) {
    return !refusal.made_calls && !refusal.time_is_up && refusal.held <= kMaxImmediateRefusalTime;
}

}  // namespace anisehold::retry
