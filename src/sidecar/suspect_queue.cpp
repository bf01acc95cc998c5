#include "sidecar/suspect_queue.hpp"

#include <algorithm>
#include <utility>

namespace anisehold::sidecar {
namespace {

/// Interval at which a waiting suspect checks whether it has been cleared or condemned.
constexpr milliseconds kCheckInterval{20};

}  // namespace

SuspectQueue::Turn::Turn(Turn&& other) noexcept
    : queue_(std::exchange(other.queue_, nullptr)), crashes_(other.crashes_) {}

SuspectQueue::Turn::~Turn() {
    if (queue_ != nullptr) {
        queue_->leave(crashes_);
    }
}

std::optional<SuspectQueue::Turn> SuspectQueue::enter(const std::function<unsigned()>& crashes,
                                                      TimePoint latest, net::CancelSignal* cancel) {
    while (true) {
        const auto known = crashes();
        if (known == 0) {
            return Turn();
        }
        if (suspects::mayBegin(slots_, known)) {
            suspects::recordStart(slots_, known);
            return Turn(*this, known);
        }
        const auto now = TimePoint::clock::now();
        if (now >= latest || (cancel != nullptr && cancel->cancelled())) {
            return std::nullopt;
        }
        net::FiberEvent turn;
        const auto position = waiting_.insert(waiting_.end(), &turn);
        turn.wait_until(std::min<TimePoint>(latest, now + kCheckInterval));
        waiting_.erase(position);
    }
}

void SuspectQueue::leave(unsigned crashes) {
    suspects::recordEnd(slots_, crashes);
    for (auto* waiting : waiting_) {
        waiting->set();
    }
}

}  // namespace anisehold::sidecar
