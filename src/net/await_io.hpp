/// @file
/// Blocks the calling fiber, not the thread, until an Asio operation completes or its time is over.
#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

#include "protocol/time_types.hpp"

namespace anisehold::net {

/// What an Asio completion handler was given.
struct IoResult {
    boost::system::error_code error;
    std::size_t bytes = 0;
    bool timed_out = false;  ///< The deadline came first; the operation was cancelled.
};

/// Calls `start(handler)`, which must begin one Asio operation with that handler, and waits for it. At
/// `deadline` it calls `cancel()`, which must make the operation complete soon, and waits for that.
/// The deadline is the fiber's own: a timer of Asio's for each operation would cost system calls to arm it
/// and a completion to take it back. Handlers only run inside the scheduler of this thread, so no lock is
/// needed.
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
        // A fiber whose deadline has just come is queued already.
        if (state.suspended && !state.waiter->ready_is_linked()) {
            boost::fibers::context::active()->schedule(state.waiter);
        }
    });
    while (!state.done) {
        state.suspended = true;
        if (deadline == TimePoint::max() || state.result.timed_out) {
            state.waiter->suspend();
        } else {
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

/// The same without a deadline.
template <typename Start>
IoResult await_io(Start start) {
    return await_io_until(TimePoint::max(), start, [] {});
}

}  // namespace anisehold::net
