/// @file
/// Runs fibers and an Asio context on one thread. Owns the context, which lives as long as the process;
/// `AsioScheduler` defines the order of fibers.
#pragma once

#include <functional>

namespace boost::asio {
class io_context;
}

namespace anisehold::net {

/// Combines the fibers of this thread and an `io_context` in one loop. Construct once per thread, before any
/// fiber starts.
class EventLoop {
  public:
    /// Ignores SIGPIPE and SIGXFSZ for the whole process.
    EventLoop();
    ~EventLoop() = default;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    boost::asio::io_context& io() { return *io_; }

    /// Starts a detached fiber. An exception that escapes `body` terminates the process, as it indicates a
    /// defect.
    static void spawn(std::function<void()> body);

  private:
    boost::asio::io_context* io_;  // Never freed: fibers refer to the context until the process ends.
};

/// Exits the process immediately without waiting for detached fibers. Call after logs are flushed.
[[noreturn]] void exit_process(int status);

}  // namespace anisehold::net
