#include "retry/gate_budget.hpp"

#include <algorithm>
#include <limits>

#include "protocol/half_life.hpp"

namespace anisehold::retry {
namespace {

/// Tolerance for rounding errors in sums of many small weights.
constexpr double kRounding = 1e-9;
/// Half-life of the demand of a rank.
constexpr double kDemandHalfLifeS = 0.5;
/// Time for which the retries that more urgent ranks ask for are kept. Long enough that their next retries
/// find them, and short enough that none lie idle.
constexpr double kReserveS = 0.1;
/// Calls that a parent has made per class of progress.
constexpr unsigned kMadePerClass = 2;

double seconds_of(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

double decayed(double asked, Duration age) {
    return asked * kept_part(age, kDemandHalfLifeS);
}

}  // namespace

GateBudget::GateBudget(const GateBudgetTerms& terms, TimePoint started)
    : terms_(terms),
      started_(started),
      changed_(started),
      earned_(started),
      arrivals_(terms.window),
      retries_(terms.window),
      of_extra_(terms.window) {}

void GateBudget::set_terms(const GateBudgetTerms& terms) {
    terms_ = terms;
    arrivals_.set_window(terms.window);
    retries_.set_window(terms.window);
    of_extra_.set_window(terms.window);
}

std::size_t GateBudget::index_of(RetryRank rank) {
    const auto priority = std::min(rank.priority, kPriorities - 1);
    const auto progress = std::min(rank.made / kMadePerClass, kProgressClasses - 1);
    return std::size_t{priority} * kProgressClasses + (kProgressClasses - 1 - progress);
}

void GateBudget::on_servers(TimePoint now, std::size_t servers, std::uint64_t identity) {
    // A partition hides servers that still spend their shares of the extra.
    most_servers_ = std::max(most_servers_, servers);
    if (servers < servers_) {
        before_loss_ = now - lost_ < terms_.window ? std::max(before_loss_, servers_) : servers_;
        lost_ = now;
    }
    servers_ = servers;
    if (identity != identity_) {
        earn(now);
        identity_ = identity;
        changed_ = now;
    }
}

void GateBudget::earn(TimePoint now) {
    const auto elapsed = now - earned_;
    earned_ = now;
    if (!counts_earlier_windows(now) || elapsed <= Duration::zero()) {
        return;
    }
    const double earned = retries_per_second(now) * seconds_of(elapsed);
    savings_ = std::min(savings_ + earned, max_savings(now));
}

double GateBudget::retries_per_second(TimePoint now) {
    return terms_.share * terms_.ratio * arrivals_.largest(now) / seconds_of(terms_.window);
}

double GateBudget::max_savings(TimePoint now) {
    // With few requests, one retry must still be possible.
    return std::max(1.0, terms_.burst_share * terms_.ratio * arrivals_.largest(now));
}

void GateBudget::on_first_arrival(TimePoint now, double inherited) {
    earn(now);
    arrivals_.add(now, 1 - inherited);
    retries_.add(now, inherited);
    headroom_ -= inherited;
    const double earned = (1 - inherited) * earned_per_arrival(now);
    const double limit = max_savings(now);
    savings_ = std::clamp(savings_ + earned - inherited, -limit, limit);
}

double GateBudget::earned_per_arrival(TimePoint now) const {
    if (counts_earlier_windows(now)) {
        return 0;  // Earned over time instead.
    }
    const double remaining =
        now - lost_ < terms_.window ? static_cast<double>(servers_) / static_cast<double>(before_loss_) : 1;
    const double own = now - started_ < terms_.window ? terms_.first_window_share : 1;
    return terms_.share * terms_.ratio * std::min({remaining, own, 1.0});
}

double GateBudget::extra_share(TimePoint now) const {
    const bool is_first_window = now - started_ < terms_.window;
    return is_first_window ? 0 : terms_.share * terms_.extra / static_cast<double>(most_servers_);
}

double GateBudget::headroom(TimePoint now) {
    const auto slice = arrivals_.slice_at(now);
    if (slice == headroom_slice_) {
        return headroom_;
    }
    headroom_slice_ = slice;
    const auto arrivals = arrivals_.cumulative(now);
    const auto retries = retries_.cumulative(now);
    constexpr auto window = WindowCount::kSlicesPerWindow;
    // The count of the slices from age `newest` to age `oldest`; whole slices only.
    const auto arrived = [&](std::int64_t newest, std::int64_t oldest) {
        const auto upto = [&](std::int64_t age) {
            return age < 0 ? 0 : arrivals.at(static_cast<std::size_t>(age));
        };
        return upto(oldest) - upto(newest - 1);
    };
    headroom_ = std::numeric_limits<double>::max();
    for (std::int64_t ahead = 0; ahead < window; ++ahead) {
        const double counted = std::max({arrived(0, window - 1 - ahead),
                                         arrived(window / 2 + 1 - ahead, window + window / 2 - 1 - ahead),
                                         arrived(window + 1 - ahead, 2 * window - 1 - ahead)});
        const double bound = terms_.share * terms_.ratio * counted + extra_share(now);
        headroom_ = std::min(headroom_, bound - retries.at(static_cast<std::size_t>(window - ahead)));
    }
    return headroom_;
}

double GateBudget::reserve_for_urgent(TimePoint now, std::size_t index) const {
    double per_second = 0;
    for (std::size_t urgent = 0; urgent < index; ++urgent) {
        const auto& demand = demands_.at(urgent);
        if (demand.asked <= 0) {
            continue;
        }
        per_second += decayed(demand.asked, now - demand.updated) / count_window_s(kDemandHalfLifeS);
    }
    return per_second * kReserveS;
}

bool GateBudget::try_retry(TimePoint now, RetryRank rank) {
    const auto index = index_of(rank);
    auto& demand = demands_.at(index);
    demand.asked = decayed(demand.asked, now - demand.updated) + 1;
    demand.updated = now;
    earn(now);
    if (headroom(now) + kRounding < 1) {
        return false;
    }
    const double extra = extra_share(now);
    const double reserve = reserve_for_urgent(now, index);
    // The reserve leaves room for one retry, so that what accumulates beyond it goes to the other ranks.
    if (savings_ + kRounding >= 1 + std::min(reserve, max_savings(now) - 1)) {
        savings_ -= 1;
    } else if (reserve < 1 && of_extra_.upper(now) + 1 <= extra) {
        of_extra_.add(now, 1);
    } else {
        return false;
    }
    retries_.add(now, 1);
    headroom_ -= 1;
    return true;
}

}  // namespace anisehold::retry
