#include "admission/adaptive_throttle.hpp"

#include <algorithm>

namespace anisehold::admission {
namespace {

constexpr milliseconds kWindow{100};
/// Refusals among those let through that are put up with: they notice when room comes back.
constexpr double kTolerated = 0.15;
/// Share of the way to refusing all, per window, when all are refused further down.
constexpr double kRise = 0.5;
/// Fall per window without more refusals than tolerated.
constexpr double kFall = 0.1;
/// Some are always let through.
constexpr double kMostRefused = 0.95;

}  // namespace

AdaptiveThrottle::Row& AdaptiveThrottle::advance(TimePoint now, const std::string& name) {
    Row& row = rows_[name];
    const auto windows = (now - row.window_started) / kWindow;
    if (windows < 1) {
        return row;
    }
    const double refused_share = row.ended == 0 ? 0.0 : static_cast<double>(row.refused) / row.ended;
    if (refused_share > kTolerated) {
        row.share = std::min(row.share + (1.0 - row.share) * kRise * refused_share, kMostRefused);
    } else {
        row.share -= kFall;
    }
    // Windows in which nothing ended count as windows without refusals.
    row.share = std::max(0.0, row.share - kFall * static_cast<double>(windows - 1));
    row.window_started = now;
    row.ended = 0;
    row.refused = 0;
    return row;
}

double AdaptiveThrottle::refusal_share(const std::string& row) const {
    const auto found = rows_.find(row);
    return found == rows_.end() ? 0.0 : found->second.share;
}

bool AdaptiveThrottle::refuses(TimePoint now, const std::string& row, double random) {
    return random < advance(now, row).share;
}

void AdaptiveThrottle::on_result(TimePoint now, const std::string& row, bool refused_by_overload) {
    Row& state = advance(now, row);
    ++state.ended;
    state.refused += refused_by_overload ? 1 : 0;
}

}  // namespace anisehold::admission
