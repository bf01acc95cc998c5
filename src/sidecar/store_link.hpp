/// @file
/// Shared by all calls to the store: logging of its reachability, and pauses after failures.
#pragma once

#include <cstddef>

#include "protocol/time_types.hpp"
#include "sidecar/sidecar_context.hpp"
#include "store/coordination_store.hpp"

namespace anisehold::sidecar {

/// Owns the reachability state of the last call.
class StoreLink {
  public:
    StoreLink(SidecarContext& context, store::CoordinationStore& store) : context_(context), store_(store) {}

    store::CoordinationStore& store() { return store_; }
    /// Logs a change of reachability; returns whether the call was served. `purpose` describes the call in
    /// the log.
    bool record_outcome(store::CallOutcome outcome, const char* purpose);
    /// Logs the number of items from other writers that couldn't be decoded.
    static void log_unreadable(std::size_t count, const char* purpose);
    /// Waits before the next call after `failures` consecutive failures. Blocks the fiber.
    void pause(unsigned failures, milliseconds max_wait);

  private:
    SidecarContext& context_;
    store::CoordinationStore& store_;
    bool reachable_ = true;
};

}  // namespace anisehold::sidecar
