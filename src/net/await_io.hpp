/// @file
/// Blocks the calling fiber, not the thread, until an Asio operation completes or times out.
#pragma once

#include <atomic>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

#include "protocol/time_types.hpp"

namespace anisehold::net {

/// Arguments of an Asio completion handler.
struct IoResult {
    boost::system::error_code error;
    std::size_t bytes = 0;
    bool timed_out = false;  ///< The deadline was reached first, and the operation was canceled.
};

/// Calls `start(handler)`, which must begin one Asio operation with that handler, and waits for its
/// completion. At `deadline`, calls `cancel()`, which must make the operation complete soon, and waits for
/// that. The deadline uses the fiber's own timer: an Asio timer per operation would cost system calls to set
/// and a completion to cancel. Handlers run only inside the scheduler of this thread, so no lock is needed.
template <typename Start, typename Cancel>
IoResult await_io_until(TimePoint deadline, Start start, Cancel cancel) {
    struct State {
        IoResult result;
        bool done = false;
        bool suspended = false;
        boost::fibers::context* waiter = boost::fibers::context::active();
    } state;
    start([&state](boost::system::error_code error, std::size_t bytes = 0) {
        state.result.error = error;
        state.result.bytes = bytes;
        state.done = true;
        // A fiber whose deadline was just reached is already queued.
        if (state.suspended && !state.waiter->ready_is_linked()) {
            boost::fibers::context::active()->schedule(state.waiter);
        }
    });
    while (!state.done) {
        state.suspended = true;
        if (deadline == TimePoint::max() || state.result.timed_out) {
            state.waiter->suspend();
        } else {
            // Boost.Fiber doesn't wake a fiber at its deadline whose status still says that its last wait for
            // a condition was ended by a notification.
            state.waiter->twstatus.store(0, std::memory_order_release);
            state.waiter->wait_until(on_steady_clock(deadline));
        }
        state.suspended = false;
        if (!state.done && !state.result.timed_out && TimePoint::clock::now() >= deadline) {
            state.result.timed_out = true;
            cancel();
        }
    }
    return state.result;
}

/// Like `await_io_until`, without a deadline.
template <typename Start>
IoResult await_io(Start start) {
    return await_io_until(TimePoint::max(), start, [] {});
}

}  // namespace anisehold::net
