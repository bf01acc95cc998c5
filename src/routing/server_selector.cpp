#include "routing/server_selector.hpp"

#include <algorithm>
#include <cmath>

namespace anisehold::routing {
namespace {

using membership::KnownServer;

/// Taken for a server of which no answer was measured yet.
constexpr double kUnknownLatencyUs = 100'000;
/// Another zone costs this much more: its bytes are dear and its way is longer.
constexpr double kOtherZoneFactor = 1.3;
constexpr double kColdFactor = 2.0;
/// A server that fails always costs this many times more.
constexpr double kFailureWeight = 30.0;
/// Weight of the newest result in the moving failure rate.
constexpr double kFailureSample = 0.4;
/// Failures fade to half in this time without a new result.
constexpr double kFailureHalfLifeS = 2.0;
/// How steeply the cost rises as the server fills.
constexpr double kLoadWeight = 3.0;

}  // namespace

double ServerSelector::failure_rate(TimePoint now, const std::string& instance) const {
    const auto found = failures_.find(instance);
    if (found == failures_.end()) {
        return 0;
    }
    const std::chrono::duration<double> age = now - found->second.updated;
    return found->second.rate * std::exp2(-age.count() / kFailureHalfLifeS);
}

double ServerSelector::cost_of(TimePoint now, const KnownServer& known) const {
    const auto& server = known.server;
    const auto own = under_way_.find(server.instance);
    const unsigned under_way = own == under_way_.end() ? 0 : own->second;
    const double busy = std::max(server.in_flight + server.queued, under_way);
    const double limit = std::max(1U, server.limit);
    const double fill = (busy + 1.0) / limit;
    const double latency = server.latency_us == 0 ? kUnknownLatencyUs : server.latency_us;
    double cost = latency * (1.0 + kLoadWeight * fill * fill);
    cost *= 1.0 + kFailureWeight * failure_rate(now, server.instance);
    if (known.zone != own_zone_) {
        cost *= kOtherZoneFactor;
    }
    if (milliseconds(server.cold_ms) > known.age) {
        cost *= kColdFactor;
    }
    return cost;
}

std::optional<KnownServer> ServerSelector::choose(TimePoint now, const std::vector<KnownServer>& servers,
                                                  const std::vector<std::string>& tried) const {
    std::vector<const KnownServer*> candidates;
    for (const auto& server : servers) {
        if (std::find(tried.begin(), tried.end(), server.server.instance) == tried.end()) {
            candidates.push_back(&server);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto draw = [&](std::size_t count) {
        return std::min(count - 1, static_cast<std::size_t>(random_() * static_cast<double>(count)));
    };
    const std::size_t first = draw(candidates.size());
    if (candidates.size() == 1) {
        return *candidates[first];
    }
    const std::size_t second = (first + 1 + draw(candidates.size() - 1)) % candidates.size();
    const bool first_is_better = cost_of(now, *candidates[first]) <= cost_of(now, *candidates[second]);
    return *candidates[first_is_better ? first : second];
}

void ServerSelector::on_ended(TimePoint now, const std::string& instance, bool failed) {
    const auto own = under_way_.find(instance);
    if (own != under_way_.end() && --own->second == 0) {
        under_way_.erase(own);
    }
    const double before = failure_rate(now, instance);
    const double rate = before + kFailureSample * ((failed ? 1.0 : 0.0) - before);
    constexpr double negligible = 0.01;
    if (rate < negligible) {
        failures_.erase(instance);
    } else {
        failures_[instance] = {rate, now};
    }
}

}  // namespace anisehold::routing
