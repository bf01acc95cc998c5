#include "admission/origin_estimator.hpp"

#include <cmath>

namespace anisehold::admission {
namespace {

/// Half-life of observed idle time, in seconds.
constexpr double kHalfLifeS = 5.0;
/// Expected number of requests in idle time below which no verdict is given.
constexpr double kMinExpected = 3.0;
/// Minimum ratio of actual to expected requests in idle time for a route that clients call. A server's calls
/// also arrive in idle time if the request that they serve was abandoned, but few do.
constexpr double kMinIdleFraction = 0.3;

}  // namespace

void OriginEstimator::advance(TimePoint now) {
    if (advanced_at_ == TimePoint{}) {
        advanced_at_ = now;
    }
    const double elapsed_s = std::chrono::duration<double>(now - advanced_at_).count();
    const double decay = std::exp2(-elapsed_s / kHalfLifeS);
    idle_s_ = idle_s_ * decay + (busy_ ? 0.0 : elapsed_s);
    total_s_ = total_s_ * decay + elapsed_s;
    advanced_at_ = now;
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
