#include "sidecar/store_link.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <string>

#include "observability/events.hpp"

namespace anisehold::sidecar {
namespace {

using observability::Event;
using observability::log_event;
using store::CallOutcome;

/// Pause after the first failure, and maximum number of times that the pause doubles with further failures.
constexpr milliseconds kFirstPause{100};
constexpr unsigned kMaxDoublings = 5;

}  // namespace

bool StoreLink::record_outcome(CallOutcome outcome, const char* purpose) {
    const bool served = outcome != CallOutcome::kRefused && outcome != CallOutcome::kUnknown;
    if (served != reachable_) {
        reachable_ = served;
        log_event(served ? Event::kStoreReachable : Event::kStoreUnreachable,
                  {{"call", purpose}, {"outcome", std::string(store::call_outcome_name(outcome))}});
    }
    return served;
}

void StoreLink::log_unreadable(std::size_t count, const char* purpose) {
    if (count > 0) {
        log_event(Event::kStoreItemsRefused, {{"call", purpose}, {"count", std::to_string(count)}});
    }
}

void StoreLink::pause(unsigned failures, milliseconds max_wait) {
    const auto max_pause = std::min(max_wait, kFirstPause * (1U << std::min(failures, kMaxDoublings)));
    // Random factor of 0.5 to 1.5, so that daemons that failed together don't retry together.
    const auto jittered = std::chrono::duration_cast<Duration>(max_pause * (0.5 + context_.random_unit()));
    boost::this_fiber::sleep_for(jittered);
}

}  // namespace anisehold::sidecar
