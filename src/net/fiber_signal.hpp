/// @file
/// A signal that can be sent repeatedly, for one waiting fiber of the same thread.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "protocol/time_types.hpp"

namespace anisehold::net {

/// An auto-reset signal: stays set until the next wait.
class FiberSignal {
  public:
    void notify() {
        notified_ = true;
        condition_.notify_all();
    }
    /// Waits until the signal is sent or `deadline` is reached, and resets the signal; returns true if the
    /// signal was sent.
    bool wait_until(TimePoint deadline) {
        std::unique_lock lock(mutex_);
        const bool was_notified =
            condition_.wait_until(lock, on_steady_clock(deadline), [this] { return notified_; });
        notified_ = false;
        return was_notified;
    }

  private:
    bool notified_ = false;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable condition_;
};

}  // namespace anisehold::net
