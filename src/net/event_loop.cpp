#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <boost/asio/io_context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "net/asio_scheduler.hpp"
#include "net/event_loop.hpp"

namespace anisehold::net {
namespace {

/// Beast's parsers and a JSON parser run on fiber stacks; untouched pages use no memory.
constexpr std::size_t kStackBytes = 256 * 1024;
/// Number of stacks allocated from the system at a time.
constexpr std::size_t kStacksPerBlock = 8;

}  // namespace

EventLoop::EventLoop() : io_(new boost::asio::io_context(1)) {
    // Writes to a closed connection or to a file that has reached its limit return an error; the default
    // actions of these signals would end the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(*io_);
}

void EventLoop::spawn(std::function<void()> body) {
    // Most fibers live for one request, so stacks are reused. Never freed, like the loop itself.
    static auto* stacks = new boost::fibers::pooled_fixedsize_stack(kStackBytes, kStacksPerBlock);
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, *stacks, std::move(body)).detach();
}

void exit_process(int status) {
    std::fflush(nullptr);
    std::_Exit(status);
}

}  // namespace anisehold::net
