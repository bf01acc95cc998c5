#include "retry/window_budget.hpp"

#include <algorithm>

namespace anisehold::retry {

void WindowBudget::drop_old(TimePoint now, Counts& counts) const {
    for (auto* times : {&counts.requests, &counts.repeats}) {
        while (!times->empty() && now - times->front() >= terms_.window) {
            times->pop_front();
        }
    }
}

void WindowBudget::on_request(TimePoint now, const std::string& service) {
    auto& counts = services_[service];
    drop_old(now, counts);
    counts.requests.push_back(now);
}

bool WindowBudget::try_repeat(TimePoint now, const std::string& service, std::size_t members,
                              RepeatReason reason) {
    auto& counts = services_[service];
    drop_old(now, counts);
    const bool first_window = now - started_ < terms_.window;
    const double share =
        first_window ? 0 : terms_.extra / static_cast<double>(std::max<std::size_t>(members, 1));
    const double spent_share =
        reason == RepeatReason::kNoAnswer ? terms_.no_answer_share : terms_.doubtful_share;
    const double bound = spent_share * (terms_.ratio * static_cast<double>(counts.requests.size()) + share);
    if (static_cast<double>(counts.repeats.size() + 1) > bound) {
        return false;
    }
    counts.repeats.push_back(now);
    return true;
}

}  // namespace anisehold::retry
