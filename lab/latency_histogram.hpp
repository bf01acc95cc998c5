/// @file
/// Logarithmic histogram of latencies.
#pragma once

#include <boost/histogram.hpp>

namespace anisehold::lab {

/// Covers 0.01 to 100,000 ms with bins 2 % wide.
class LatencyHistogram {
  public:
    LatencyHistogram() : bins_(boost::histogram::make_histogram(Axis(kBins, kMinMs, kMaxMs))) {}

    void add(double latency_ms) {
        bins_(latency_ms);
        ++count_;
    }
    void add(const LatencyHistogram& other) {
        bins_ += other.bins_;
        count_ += other.count_;
    }
    /// Returns the upper edge of the bin that contains the percentile; 0 without samples.
    double percentile_ms(double share) const {
        double seen = 0;
        for (const auto& bin : boost::histogram::indexed(bins_)) {
            seen += *bin;
            if (count_ > 0 && seen >= share * static_cast<double>(count_)) {
                return bin.bin().upper();
            }
        }
        return 0;
    }

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static constexpr unsigned kBins = 814;
    static constexpr double kMinMs = 0.01;
    static constexpr double kMaxMs = 100'000;

    decltype(boost::histogram::make_histogram(Axis(1, 1, 2))) bins_;
    unsigned long count_ = 0;
};

}  // namespace anisehold::lab
