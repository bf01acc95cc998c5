#include "retry/window_budget.hpp"

#include <algorithm>

namespace anisehold::retry {
namespace {

/// Tolerance for rounding errors in sums of many small weights.
constexpr double kRounding = 1e-9;

}  // namespace

void WindowBudget::add(Sum& sum, TimePoint now, double weight) {
    if (weight <= 0) {
        return;
    }
    sum.samples.push_back({now, weight});
    sum.total += weight;
}

void WindowBudget::drop_old(TimePoint now, Counts& counts) const {
    for (auto* sum : {&counts.requests, &counts.retries, &counts.of_extra}) {
        while (!sum->samples.empty() && now - sum->samples.front().time >= terms_.window) {
            sum->total -= sum->samples.front().weight;
            sum->samples.pop_front();
        }
        if (sum->samples.empty()) {
            sum->total = 0;
        }
    }
}

void WindowBudget::on_request(TimePoint now, const std::string& service, double inherited) {
    auto& counts = services_[service];
    drop_old(now, counts);
    add(counts.requests, now, 1 - inherited);
    add(counts.retries, now, inherited);
    const double earned = terms_.no_answer_share * terms_.ratio * (1 - inherited) - inherited;
    counts.savings = std::clamp(counts.savings + earned, 0.0, max_savings(counts));
}

double WindowBudget::max_savings(const Counts& counts) const {
    // With few requests, one retry must still be possible.
    return std::max(1.0, terms_.burst_share * terms_.ratio * counts.requests.total);
}

void WindowBudget::record_retry(TimePoint now, const std::string& service) {
    auto& counts = services_[service];
    drop_old(now, counts);
    add(counts.retries, now, 1);
}

bool WindowBudget::try_retry(TimePoint now, const std::string& service, std::size_t members,
                             RetryReason reason) {
    auto& counts = services_[service];
    drop_old(now, counts);
    const bool first_window = now - started_ < terms_.window;
    const double share =
        first_window ? 0 : terms_.extra / static_cast<double>(std::max<std::size_t>(members, 1));
    const double spent_share =
        reason == RetryReason::kNoAnswer ? terms_.no_answer_share : terms_.doubtful_share;
    const double bound = spent_share * (terms_.ratio * counts.requests.total + share);
    if (counts.retries.total + 1 > bound + kRounding) {
        return false;
    }
    if (counts.savings + kRounding >= 1) {
        counts.savings -= 1;
    } else if (counts.of_extra.total + 1 <= spent_share * share) {
        add(counts.of_extra, now, 1);
    } else {
        return false;
    }
    add(counts.retries, now, 1);
    return true;
}

}  // namespace anisehold::retry
