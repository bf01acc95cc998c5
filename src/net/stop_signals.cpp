#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <csignal>

#include "net/await_io.hpp"
#include "net/stop_signals.hpp"

namespace anisehold::net {

StopSignals::StopSignals(EventLoop& loop) : signals_(loop.io(), SIGTERM, SIGINT) {
    std::signal(SIGHUP, SIG_IGN);
}

int StopSignals::wait() {
    int number = 0;
    await_io([&](auto handler) {
        signals_.async_wait([handler, &number](boost::system::error_code error, int signal) mutable {
            number = signal;
            handler(error);
        });
    });
    return number;
}

}  // namespace anisehold::net
