#include "admission/adaptive_throttle.hpp"

#include <algorithm>
#include <iterator>

namespace anisehold::admission {
namespace {

/// Windows after which one ends whatever it saw.
constexpr int kLongestInWindows = 10;
/// Refusals among those let through that are put up with: they notice when room comes back.
constexpr double kTolerated = 0.15;
/// Some of the most important are always let through.
constexpr double kLeastLevel = 0.1;

}  // namespace

double AdaptiveThrottle::Service::share_let_through(unsigned priority) const {
    const auto place = std::distance(priorities.begin(), priorities.lower_bound(priority));
    return std::clamp(level - static_cast<double>(place), 0.0, 1.0);
}

double AdaptiveThrottle::rise_of(const Service& service) const {
    if (options_.clean_windows_to_double == 0) {
        return options_.rise;
    }
    const auto growth = static_cast<double>(service.clean_windows) / options_.clean_windows_to_double;
    return options_.rise * (1.0 + growth);
}

void AdaptiveThrottle::advance(TimePoint now, Service& service) const {
    const auto windows = (now - service.window_started) / options_.window;
    const bool too_few = service.ended > 0 && service.ended < options_.least_samples;
    if (windows < 1 || (too_few && windows < kLongestInWindows)) {
        return;
    }
    const auto most = static_cast<double>(service.priorities.size());
    const double refused_share =
        service.ended == 0 ? 0.0 : static_cast<double>(service.refused) / service.ended;
    service.clean_windows = service.refused == 0 ? service.clean_windows + 1 : 0;
    const double rise = rise_of(service);
    if (refused_share > kTolerated) {
        service.level -= options_.fall * most * refused_share;
    } else {
        service.level += rise * most;
    }
    // Windows in which nothing ended count as windows without refusals.
    service.level += rise * most * static_cast<double>(windows - 1);
    service.level = std::clamp(service.level, kLeastLevel, most);
    service.window_started = now;
    service.ended = 0;
    service.refused = 0;
}

double AdaptiveThrottle::refusal_share(const ThrottledRow& row) const {
    double let_through = 1.0;
    for (const auto& [name, service] : services_) {
        if (service.rows.contains(row.name)) {
            let_through = std::min(let_through, service.share_let_through(row.priority));
        }
    }
    return 1.0 - let_through;
}

bool AdaptiveThrottle::refuses(TimePoint now, const ThrottledRow& row, double random) {
    for (auto& [name, service] : services_) {
        advance(now, service);
    }
    return random < refusal_share(row);
}

void AdaptiveThrottle::on_result(TimePoint now, const ThrottledRow& row,
                                 const std::string& overloaded_service) {
    if (!overloaded_service.empty()) {
        Service& service = services_[overloaded_service];
        service.rows.insert(row.name);
        if (service.priorities.insert(row.priority).second) {
            // The new priority starts as let through.
            service.level += 1.0;
        }
    }
    for (auto& [name, service] : services_) {
        if (service.rows.contains(row.name)) {
            advance(now, service);
            ++service.ended;
            service.refused += name == overloaded_service ? 1 : 0;
        }
    }
}

}  // namespace anisehold::admission
