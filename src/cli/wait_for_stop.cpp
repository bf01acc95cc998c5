#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <cstring>

#include "cli/wait_for_stop.hpp"
#include "net/stop_signals.hpp"
#include "observability/events.hpp"

namespace anisehold::cli {

std::string wait_for_stop(net::StopSignals& signals) {
    const int first = signals.wait();
    net::EventLoop::spawn([&signals] {
        while (true) {
            const int number = signals.wait();
            observability::log_event(observability::Event::kStopSignalRepeated,
                                     {{"signal", ::strsignal(number)}});
        }
    });
    return ::strsignal(first);
}

}  // namespace anisehold::cli
