/// @file
/// Weighted counts of events in sliding windows of fixed memory: the present window, the one before it, and
/// the one half a window earlier. Pure.
#pragma once

#include <array>
#include <cstdint>

#include "protocol/time_types.hpp"

namespace anisehold::retry {

/// Counts in slices of a hundredth of the window. A window consists of whole slices, so its count may miss
/// the events of one slice; `upper` includes them.
class WindowCount {
  public:
    explicit WindowCount(milliseconds window) : slice_(slice_of(window)) {}

    void add(TimePoint now, double weight);
    /// Changes the window; forgets all counts if it differs.
    void set_window(milliseconds window);

    /// Lower bound of the count in the present window.
    double current(TimePoint now);
    /// Upper bound of the count in the present window.
    double upper(TimePoint now);
    static constexpr std::int64_t kSlicesPerWindow = 100;
    /// Two windows, and the slice that is partly in them.
    static constexpr std::int64_t kSlices = 2 * kSlicesPerWindow + 1;

    std::int64_t slice_at(TimePoint now) const { return now.time_since_epoch() / slice_; }
    /// Returns, for each age in slices, the count of the slices of that age or less. The present slice has
    /// age 0.
    std::array<double, kSlices> cumulative(TimePoint now);

    /// Lower bound of the largest of the counts in the present window, the previous one, and the one half a
    /// window earlier.
    double largest(TimePoint now);

  private:
    static Duration slice_of(milliseconds window) { return Duration(window) / kSlicesPerWindow; }
    double& at(std::int64_t slice) { return slices_.at(static_cast<std::size_t>(slice % kSlices)); }
    /// Sum of the slices from `newest - first` to `newest - last`, both included.
    double sum(std::int64_t first, std::int64_t last);
    /// Clears the slices that have expired, and sums the completed ones.
    void advance(TimePoint now);

    Duration slice_;
    std::array<double, kSlices> slices_{};
    std::int64_t newest_ = 0;
    double current_ = 0;  ///< Counts of the windows without the newest slice.
    double oldest_ = 0;   ///< Count of the slice that is partly in the present window.
    double earlier_ = 0;  ///< The larger count of the two earlier windows.
};

}  // namespace anisehold::retry
