#include "cli/log_flush.hpp"

#include <boost/fiber/operations.hpp>

#include "net/event_loop.hpp"
#include "observability/events.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::cli {
namespace {

/// Time between the first line of a group and its write.
constexpr milliseconds kLogFlushPeriod{200};

}  // namespace

void group_log_writes() {
    observability::set_log_scheduler([] {
        net::EventLoop::spawn([] {
            boost::this_fiber::sleep_for(kLogFlushPeriod);
            observability::flush_log();
        });
    });
}

}  // namespace anisehold::cli
