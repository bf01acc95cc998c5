#include "retry/window_count.hpp"

#include <algorithm>

namespace anisehold::retry {

void WindowCount::add(TimePoint now, double weight) {
    advance(now);
    at(newest_) += weight;
}

void WindowCount::set_window(milliseconds window) {
    if (slice_of(window) != slice_) {
        *this = WindowCount(window);
    }
}

double WindowCount::current(TimePoint now) {
    advance(now);
    return current_ + at(newest_);
}

double WindowCount::upper(TimePoint now) {
    return current(now) + oldest_;
}

double WindowCount::largest(TimePoint now) {
    return std::max(current(now), earlier_);
}

std::array<double, WindowCount::kSlices> WindowCount::cumulative(TimePoint now) {
    advance(now);
    std::array<double, kSlices> counts{};
    double total = 0;
    for (std::int64_t age = 0; age < kSlices; ++age) {
        total += at(newest_ - age);
        counts.at(static_cast<std::size_t>(age)) = total;
    }
    return counts;
}

double WindowCount::sum(std::int64_t first, std::int64_t last) {
    double total = 0;
    for (auto age = last; age <= first; ++age) {
        total += at(newest_ - age);
    }
    return total;
}

void WindowCount::advance(TimePoint now) {
    const auto slice = std::max(slice_at(now), kSlices);
    if (slice <= newest_) {
        return;
    }
    for (auto cleared = std::max(newest_ + 1, slice - kSlices + 1); cleared <= slice; ++cleared) {
        at(cleared) = 0;
    }
    newest_ = slice;
    constexpr auto half = kSlicesPerWindow / 2;
    current_ = sum(kSlicesPerWindow - 1, 1);
    oldest_ = sum(kSlicesPerWindow, kSlicesPerWindow);
    earlier_ = std::max(sum(kSlicesPerWindow + half - 1, half + 1),
                        sum(2 * kSlicesPerWindow - 1, kSlicesPerWindow + 1));
}

}  // namespace anisehold::retry
