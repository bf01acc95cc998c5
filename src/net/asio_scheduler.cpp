#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>

#include "net/asio_scheduler.hpp"

namespace anisehold::net {
namespace {

/// While fibers are ready, the sockets are polled once per this many context switches.
constexpr unsigned kSwitchesPerPoll = 8;

}  // namespace

AsioScheduler::AsioScheduler(boost::asio::io_context& io) : io_(io), work_(io.get_executor()) {}

void AsioScheduler::awakened(boost::fibers::context* context) noexcept {
    context->ready_link(ready_);
}

boost::fibers::context* AsioScheduler::pick_next() noexcept {
    if (++switches_since_poll_ >= kSwitchesPerPoll) {
        switches_since_poll_ = 0;
        io_.poll();
    }
    if (ready_.empty()) {
        return nullptr;
    }
    boost::fibers::context* picked = &ready_.front();
    ready_.pop_front();
    // The poll above may have woken the fiber that is being suspended, and a fiber can't be resumed from
    // itself. The dispatcher fiber is always queued in this case, so there is another fiber to pick.
    if (picked == boost::fibers::context::active() && !ready_.empty()) {
        boost::fibers::context* other = &ready_.front();
        ready_.pop_front();
        picked->ready_link(ready_);
        return other;
    }
    return picked;
}

bool AsioScheduler::has_ready_fibers() const noexcept {
    return !ready_.empty();
}

void AsioScheduler::suspend_until(const std::chrono::steady_clock::time_point& deadline) noexcept {
    switches_since_poll_ = 0;
    if (deadline == std::chrono::steady_clock::time_point::max()) {
        io_.run_one();
    } else {
        io_.run_one_until(deadline);
    }
    io_.poll();
}

void AsioScheduler::notify() noexcept {
    boost::asio::post(io_, [] {});
}

}  // namespace anisehold::net
