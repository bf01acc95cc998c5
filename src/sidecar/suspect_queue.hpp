/// @file
/// Queue in which suspect requests wait for their turn at one server.
#pragma once

#include <functional>
#include <list>
#include <optional>

#include "net/fiber_event.hpp"
#include "net/http_types.hpp"
#include "protocol/time_types.hpp"
#include "suspects/suspect_slots.hpp"

namespace anisehold::sidecar {

/// Admits a limited number of suspects at a time, as decided by suspects/suspect_slots.
class SuspectQueue {
  public:
    /// A suspect's turn; the destructor ends it. A default-constructed turn holds no slot.
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

    /// Waits for a turn. `crashes` returns the current number of crashes known of the request; a request
    /// without known crashes continues at once. Returns nothing if no turn came before `latest`, or if the
    /// caller disconnected. Blocks the fiber.
    std::optional<Turn> enter(const std::function<unsigned()>& crashes, TimePoint latest,
                              net::CancelSignal* cancel);

  private:
    void leave(unsigned crashes);

    suspects::SuspectSlots slots_;
    std::list<net::FiberEvent*> waiting_;
};

}  // namespace anisehold::sidecar
