/// @file
/// A round-robin fiber scheduler that waits inside an Asio context. Owns the queue of ready fibers; the event
/// loop owns the context.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>

namespace anisehold::net {

/// Runs ready fibers in turn. If none is ready, runs the `io_context` until an event or a deadline.
class AsioScheduler final : public boost::fibers::algo::algorithm {
  public:
    explicit AsioScheduler(boost::asio::io_context& io);

    void awakened(boost::fibers::context* context) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point& deadline) noexcept override;
    void notify() noexcept override;

  private:
    boost::asio::io_context& io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::fibers::scheduler::ready_queue_type ready_;
    unsigned switches_since_poll_ = 0;
};

}  // namespace anisehold::net
