/// @file
/// Where suspects wait for their turn at one server.
#pragma once

#include <functional>
#include <list>
#include <optional>

#include "net/fiber_event.hpp"
#include "net/http_types.hpp"
#include "protocol/time_types.hpp"
#include "suspects/suspect_slots.hpp"

namespace anisehold::sidecar {

/// Admits a few suspects at a time: suspects/suspect_slots decides how many.
class SuspectQueue {
  public:
    /// A suspect's turn, which ends with it. One of no suspect holds nothing.
    class Turn {
      public:
        Turn() = default;
        Turn(SuspectQueue& queue, unsigned crashes) : queue_(&queue), crashes_(crashes) {}
        ~Turn();
        Turn(Turn&& other) noexcept;
        Turn& operator=(Turn&&) = delete;

      private:
        SuspectQueue* queue_ = nullptr;
        unsigned crashes_ = 0;
    };

    /// Waits for a turn. `crashes` gives how many are known of the request, which may change meanwhile; a
    /// request of which none is known goes on at once. Nothing if no turn came before `latest`, or the caller
    /// left. Blocks the fiber.
    std::optional<Turn> enter(const std::function<unsigned()>& crashes, TimePoint latest,
                              net::CancelSignal* cancel);

  private:
    void leave(unsigned crashes);

    suspects::SuspectSlots slots_;
    std::list<net::FiberEvent*> waiting_;
};

}  // namespace anisehold::sidecar
