/// @file
/// One thread that runs fibers and an Asio context together. Owns the context, which lives as long as the
/// process; relies on `AsioScheduler` for the order of fibers.
#pragma once

#include <functional>

namespace boost::asio {
class io_context;
}

namespace anisehold::net {

/// Makes the fibers of this thread and an `io_context` share one loop. Construct once per thread, before
/// any fiber starts.
class EventLoop {
  public:
    EventLoop();
    ~EventLoop() = default;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    boost::asio::io_context& io() { return *io_; }

    /// Starts a detached fiber. An exception that escapes `body` ends the process: it is a defect.
    static void spawn(std::function<void()> body);

    /// Blocks the calling fiber until SIGTERM or SIGINT arrives.
    void wait_for_stop_signal();

  private:
    boost::asio::io_context* io_;  // Never freed: fibers refer to it until the process ends.
};

/// Ends the process at once without waiting for detached fibers. Call after logs are flushed.
[[noreturn]] void exit_process(int status);

}  // namespace anisehold::net
