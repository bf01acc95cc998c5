/// @file
/// A signal that can be given many times, for one waiting fiber of the same thread.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "protocol/time_types.hpp"

namespace anisehold::net {

/// Remembers that it was given until the next wait.
class FiberSignal {
  public:
    void notify() {
        notified_ = true;
        condition_.notify_all();
    }
    /// Waits until the signal is given or `deadline` has come, and takes the signal; true if it was given.
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
