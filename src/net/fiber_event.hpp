/// @file
/// A one-shot event that fibers of one thread can wait for.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "protocol/time_types.hpp"

namespace anisehold::net {

/// An event that is set once, and then releases all current and later waiters.
class FiberEvent {
  public:
    void set() {
        set_ = true;
        condition_.notify_all();
    }
    bool is_set() const { return set_; }
    /// Waits until the event is set or `deadline` is reached; returns true if the event is set.
    bool wait_until(TimePoint deadline) {
        std::unique_lock lock(mutex_);
        return condition_.wait_until(lock, on_steady_clock(deadline), [this] { return set_; });
    }
    void wait() {
        std::unique_lock lock(mutex_);
        condition_.wait(lock, [this] { return set_; });
    }

  private:
    bool set_ = false;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable condition_;
};

}  // namespace anisehold::net
