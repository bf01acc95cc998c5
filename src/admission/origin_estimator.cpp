#include "admission/origin_estimator.hpp"

#include <cmath>

namespace anisehold::admission {
namespace {

/// Time after which past idleness counts half, in seconds. Chosen, not measured.
constexpr double kHalfLifeS = 5.0;
/// Requests expected in idle time before a verdict is given. Chosen, not measured.
constexpr double kMinExpected = 3.0;
/// Part of them that must have come. Calls of a server that was given up come in idle time too, but few.
/// Chosen, not measured.
constexpr double kMinIdleFraction = 0.3;

}  // namespace

void OriginEstimator::advance(TimePoint now) {
    if (advanced_ == TimePoint{}) {
        advanced_ = now;
    }
    const double elapsed_s = std::chrono::duration<double>(now - advanced_).count();
    const double fading = std::exp2(-elapsed_s / kHalfLifeS);
    idle_s_ = idle_s_ * fading + (busy_ ? 0.0 : elapsed_s);
    total_s_ = total_s_ * fading + elapsed_s;
    advanced_ = now;
}

double OriginEstimator::idle_share() const {
    return total_s_ > 0 ? idle_s_ / total_s_ : 0.0;
}

void OriginEstimator::on_server(TimePoint now, bool busy) {
    advance(now);
    busy_ = busy;
}

void OriginEstimator::on_request(TimePoint now, const std::string& route) {
    advance(now);
    auto& arrivals = routes_[route];
    arrivals.expected_while_idle += idle_share();
    arrivals.while_idle += busy_ ? 0.0 : 1.0;
}

bool OriginEstimator::is_conclusive(const Arrivals& arrivals) {
    return arrivals.expected_while_idle >= kMinExpected &&
           arrivals.while_idle >= kMinIdleFraction * arrivals.expected_while_idle;
}

void OriginEstimator::on_peer_verdict(const std::vector<std::string>& client_routes) {
    reported_by_peers_.insert(client_routes.begin(), client_routes.end());
}

bool OriginEstimator::is_called_by_clients(const std::string& route) const {
    const auto found = routes_.find(route);
    return reported_by_peers_.contains(route) || (found != routes_.end() && is_conclusive(found->second));
}

std::vector<std::string> OriginEstimator::own_verdicts() const {
    std::vector<std::string> verdicts;
    for (const auto& [route, arrivals] : routes_) {
        if (is_conclusive(arrivals) && verdicts.size() < kMaxVerdicts) {
            verdicts.push_back(route);
        }
    }
    return verdicts;
}

}  // namespace anisehold::admission
