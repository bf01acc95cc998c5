/// @file
/// What all calls to the store share: logging whether it is reachable, and pauses after failures.
#pragma once

#include <cstddef>

#include "protocol/time_types.hpp"
#include "sidecar/sidecar_context.hpp"
#include "store/coordination_store.hpp"

namespace anisehold::sidecar {

/// Owns whether the store was reachable at the last call.
class StoreLink {
  public:
    StoreLink(SidecarContext& context, store::CoordinationStore& store) : context_(context), store_(store) {}

    store::CoordinationStore& store() { return store_; }
    /// Logs a change between reachable and not; whether the call was served. `purpose`: of the call, for the
    /// log.
    bool note(store::CallOutcome outcome, const char* purpose);
    /// Logs items of another writer that couldn't be read.
    static void note_unreadable(std::size_t count, const char* purpose);
    /// Pauses before the next call after `failures` failed ones in a row. Blocks the fiber.
    void pause(unsigned failures, milliseconds at_most);

  private:
    SidecarContext& context_;
    store::CoordinationStore& store_;
    bool reachable_ = true;
};

}  // namespace anisehold::sidecar
