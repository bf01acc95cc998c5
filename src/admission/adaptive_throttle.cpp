#include "admission/adaptive_throttle.hpp"

#include <algorithm>
#include <iterator>

namespace anisehold::admission {
namespace {

/// The admitted priorities move once in this time. With these steps per window the goodput of one run with an
/// overload that begins all at once rose from 0.559 to 0.753, and service was back to 95 % after 1.5 s (not
/// within 7 s before); the single values are chosen, not measured.
constexpr milliseconds kWindow{100};
/// Fall per window when all are refused, as a share of all priorities.
constexpr double kDecrease = 0.25;
/// Rise per window without more refusals than tolerated, as a share of all priorities.
constexpr double kIncrease = 0.1;
/// Share of the admitted roots that may be refused further down: they show that there is capacity again.
/// Chosen, not measured.
constexpr double kToleratedRefusals = 0.15;
/// Some of the most important are always admitted. In priorities. Chosen, not measured.
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
    // Windows in which nothing ended count as windows without refusals.
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
            // A new priority begins admitted.
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
