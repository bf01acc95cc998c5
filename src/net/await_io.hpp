/// @file
/// Blocks the calling fiber, not the thread, until an Asio operation completes.
#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace anisehold::net {

/// What an Asio completion handler was given.
struct IoResult {
    boost::system::error_code error;
    std::size_t bytes = 0;
};

/// Calls `start(handler)`, which must begin one Asio operation with that handler, and waits for it.
/// Handlers only run inside the scheduler of this thread, so no lock is needed.
template <typename Start>
IoResult await_io(Start start) {
    struct State {
        IoResult result;
        bool done = false;
        bool suspended = false;
        boost::fibers::context* waiter = boost::fibers::context::active();
    } state;
    start([&state](boost::system::error_code error, std::size_t bytes = 0) {
        state.result = {error, bytes};
        state.done = true;
        if (state.suspended) {
            boost::fibers::context::active()->schedule(state.waiter);
        }
    });
    while (!state.done) {
        state.suspended = true;
        state.waiter->suspend();
    }
    return state.result;
}

}  // namespace anisehold::net
