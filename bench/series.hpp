/// @file
/// Outcomes over time, as the load generators write them, and their plot.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace anisehold::bench {

/// Requests that arrived in one interval.
struct Interval {
    double sent = 0;
    double whole = 0;
};

/// Length of an interval.
inline constexpr long kIntervalMs = 500;

/// Outcomes of one run by interval and kind.
class Series {
  public:
    /// Adds a load generator's file; false if it can't be read.
    bool add_file(const std::string& file_name);

    /// Totals by kind over intervals that start in [from_ms, to_ms).
    std::map<std::string, Interval> totals(long from_ms, long to_ms) const;
    /// Share of all requests that ended whole, by interval.
    std::vector<double> whole_share() const;
    /// Whole requests a second, by interval.
    std::vector<double> whole_per_second() const;
    const std::map<std::pair<long, std::string>, Interval>& intervals() const { return intervals_; }

  private:
    std::map<std::pair<long, std::string>, Interval> intervals_;  // By index and kind.
};

/// Seconds from `cause_end_ms` to the first moment from which the whole share stays at 95 % of its level
/// before `cause_start_ms`; negative if that doesn't come before the end of the run.
double recovery_seconds(const Series& series, long cause_start_ms, long cause_end_ms, long end_ms);

/// One curve of a plot.
struct Curve {
    std::string name;
    std::string colour;
    std::vector<double> values;  ///< By interval.
};

/// Writes curves over time as an SVG file, with the time of the cause shaded.
void write_svg(const std::string& file_name, const std::string& title, const std::vector<Curve>& curves,
               long cause_start_ms, long cause_end_ms);

}  // namespace anisehold::bench
