#include "admission/declined_share.hpp"

#include <algorithm>
#include <cmath>

#include "protocol/half_life.hpp"

namespace anisehold::admission {
namespace {

constexpr double kHalfLifeS = 0.25;
/// Results assumed to have been good, so that the first results of a quiet server prove nothing.
constexpr double kPriorEnded = 3;
/// Shares at which a server is believed to decline, and no longer. Single refusals of a server that starts
/// or stops stay below the first.
constexpr double kBeginShare = 0.1;
constexpr double kEndShare = 0.05;
constexpr double kPercent = 100;

double age_s(const DeclinedShare& share, TimePoint now) {
    return std::max(0.0, std::chrono::duration<double>(now - share.updated).count());
}

}  // namespace

double current_declined(const DeclinedShare& share, TimePoint now) {
    const double remaining =
        1 - age_s(share, now) / std::chrono::duration<double>(kDeclinedRetention).count();
    return std::max(0.0, remaining) * share.declined / (share.ended + kPriorEnded);
}

DeclineChange record_arrival_end(DeclinedShare& share, TimePoint now, bool declined) {
    const double kept = kept_part(std::max(Duration::zero(), now - share.updated), kHalfLifeS);
    share.declined = share.declined * kept + (declined ? 1 : 0);
    share.ended = share.ended * kept + 1;
    share.updated = std::max(share.updated, now);
    const double current = current_declined(share, now);
    const bool was_declining = share.is_declining;
    share.is_declining = current >= (was_declining ? kEndShare : kBeginShare);
    if (was_declining == share.is_declining) {
        return DeclineChange::kNone;
    }
    return share.is_declining ? DeclineChange::kBegan : DeclineChange::kEnded;
}

DeclineChange expire_declined(DeclinedShare& share, TimePoint now) {
    if (!share.is_declining || current_declined(share, now) > 0) {
        return DeclineChange::kNone;
    }
    share.is_declining = false;
    return DeclineChange::kEnded;
}

unsigned declined_percent(const DeclinedShare& share, TimePoint now) {
    const auto percent = static_cast<unsigned>(std::lround(kPercent * current_declined(share, now)));
    return share.is_declining ? percent : 0;
}

}  // namespace anisehold::admission
