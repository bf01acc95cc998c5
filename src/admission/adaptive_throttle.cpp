#include "admission/adaptive_throttle.hpp"

#include <algorithm>

namespace anisehold::admission {
namespace {

constexpr milliseconds kBucketLength{100};
/// Requests let through per accepted one: the excess is what notices that room has come back.
constexpr double kExcess = 1.25;
/// Below this many requests in the window nothing is refused: too little is known.
constexpr unsigned kLeastRequests = 10;

std::int64_t tick_of(TimePoint now) {
    return now.time_since_epoch() / kBucketLength;
}

}  // namespace

AdaptiveThrottle::Bucket& AdaptiveThrottle::bucket(TimePoint now, const std::string& row) {
    const auto tick = tick_of(now);
    Bucket& bucket = windows_[row][static_cast<std::size_t>(tick) % kBuckets];
    if (bucket.tick != tick) {
        bucket = Bucket{tick, 0, 0};
    }
    return bucket;
}

double AdaptiveThrottle::refusal_probability(TimePoint now, const std::string& row) const {
    const auto found = windows_.find(row);
    if (found == windows_.end()) {
        return 0;
    }
    const auto oldest = tick_of(now) - static_cast<std::int64_t>(kBuckets) + 1;
    double requests = 0;
    double accepted = 0;
    for (const auto& bucket : found->second) {
        if (bucket.tick >= oldest) {
            requests += bucket.requests;
            accepted += bucket.accepted;
        }
    }
    if (requests < kLeastRequests) {
        return 0;
    }
    return std::max(0.0, (requests - kExcess * accepted) / (requests + 1));
}

bool AdaptiveThrottle::refuses(TimePoint now, const std::string& row, double random) {
    const bool refused = random < refusal_probability(now, row);
    if (refused) {
        ++bucket(now, row).requests;
    }
    return refused;
}

void AdaptiveThrottle::on_result(TimePoint now, const std::string& row, bool refused_by_overload) {
    Bucket& current = bucket(now, row);
    ++current.requests;
    if (!refused_by_overload) {
        ++current.accepted;
    }
}

}  // namespace anisehold::admission
