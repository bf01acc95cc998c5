#include "bench/series.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace anisehold::bench {
namespace {

constexpr double kRecoveredShare = 0.95;
constexpr double kIntervalsPerSecond = 1'000.0 / kIntervalMs;

}  // namespace

bool Series::add_file(const std::string& file_name) {
    std::ifstream file(file_name);
    std::string line;
    if (!std::getline(file, line)) {
        return false;
    }
    while (std::getline(file, line)) {
        std::istringstream cells(line);
        std::string time_ms;
        std::string kind;
        std::string priority;
        std::string sent;
        std::string whole;
        std::getline(cells, time_ms, ',');
        std::getline(cells, kind, ',');
        std::getline(cells, priority, ',');
        std::getline(cells, sent, ',');
        std::getline(cells, whole, ',');
        auto& interval = intervals_[{std::stol(time_ms) / kIntervalMs, kind}];
        interval.sent += std::stod(sent);
        interval.whole += std::stod(whole);
    }
    return true;
}

std::map<std::string, Interval> Series::totals(long from_ms, long to_ms) const {
    std::map<std::string, Interval> totals;
    for (const auto& [place, interval] : intervals_) {
        const long start_ms = place.first * kIntervalMs;
        if (start_ms >= from_ms && start_ms < to_ms) {
            totals[place.second].sent += interval.sent;
            totals[place.second].whole += interval.whole;
        }
    }
    return totals;
}

std::vector<double> Series::whole_share() const {
    const long last = intervals_.empty() ? 0 : intervals_.rbegin()->first.first + 1;
    std::vector<Interval> sums(static_cast<std::size_t>(last));
    for (const auto& [place, interval] : intervals_) {
        sums[static_cast<std::size_t>(place.first)].sent += interval.sent;
        sums[static_cast<std::size_t>(place.first)].whole += interval.whole;
    }
    std::vector<double> shares;
    shares.reserve(sums.size());
    for (const auto& sum : sums) {
        shares.push_back(sum.sent > 0 ? sum.whole / sum.sent : 1.0);
    }
    return shares;
}

std::vector<double> Series::whole_per_second() const {
    const long last = intervals_.empty() ? 0 : intervals_.rbegin()->first.first + 1;
    std::vector<double> rates(static_cast<std::size_t>(last));
    for (const auto& [place, interval] : intervals_) {
        rates[static_cast<std::size_t>(place.first)] += interval.whole * kIntervalsPerSecond;
    }
    return rates;
}

double recovery_seconds(const Series& series, long cause_start_ms, long cause_end_ms, long end_ms) {
    const auto shares = series.whole_share();
    double before = 0;
    long counted = 0;
    // The first second is the start-up of the clients.
    for (long index = 1'000 / kIntervalMs; index < cause_start_ms / kIntervalMs; ++index, ++counted) {
        before += shares[static_cast<std::size_t>(index)];
    }
    const double needed = kRecoveredShare * before / static_cast<double>(std::max(counted, 1L));
    const long last = std::min(end_ms / kIntervalMs, static_cast<long>(shares.size()));
    long recovered_from = cause_end_ms / kIntervalMs;
    for (long index = recovered_from; index < last; ++index) {
        if (shares[static_cast<std::size_t>(index)] < needed) {
            recovered_from = index + 1;
        }
    }
    if (recovered_from >= last) {
        return -1;
    }
    return static_cast<double>(recovered_from * kIntervalMs - cause_end_ms) / 1'000.0;
}

void write_svg(const std::string& file_name, const std::string& title, const std::vector<Curve>& curves,
               long cause_start_ms, long cause_end_ms) {
    constexpr double width = 800;
    constexpr double height = 320;
    constexpr double margin = 50;
    std::size_t intervals = 1;
    double top = 1;
    for (const auto& curve : curves) {
        intervals = std::max(intervals, curve.values.size());
        for (const double value : curve.values) {
            top = std::max(top, value);
        }
    }
    const double step = (width - 2 * margin) / static_cast<double>(intervals);
    const auto x_of = [&](double index) { return margin + index * step; };
    const auto y_of = [&](double value) { return height - margin - value / top * (height - 2 * margin); };
    std::ofstream file(file_name);
    file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
         << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
            "fill=\"white\"/>\n";
    const double shade_from = x_of(static_cast<double>(cause_start_ms) / kIntervalMs);
    const double shade_to = x_of(static_cast<double>(cause_end_ms) / kIntervalMs);
    file << "<rect x=\"" << shade_from << "\" y=\"" << margin << "\" width=\"" << shade_to - shade_from
         << "\" height=\"" << height - 2 * margin << "\" fill=\"#eee\"/>\n";
    file << "<text x=\"" << margin << "\" y=\"20\">" << title
         << ": whole requests a second over time</text>\n";
    file << "<text x=\"5\" y=\"" << y_of(top) << "\">" << static_cast<long>(top) << "</text>\n";
    file << "<text x=\"5\" y=\"" << y_of(0) << "\">0</text>\n";
    file << "<text x=\"" << width - margin << "\" y=\"" << height - 30 << "\">"
         << static_cast<long>(intervals) * kIntervalMs / 1'000 << " s</text>\n";
    double legend_x = margin;
    for (const auto& curve : curves) {
        file << "<polyline fill=\"none\" stroke=\"" << curve.colour << "\" stroke-width=\"2\" points=\"";
        for (std::size_t index = 0; index < curve.values.size(); ++index) {
            file << x_of(static_cast<double>(index) + 0.5) << "," << y_of(curve.values[index]) << " ";
        }
        file << "\"/>\n<text fill=\"" << curve.colour << "\" x=\"" << legend_x << "\" y=\"" << height - 10
             << "\">" << curve.name << "</text>\n";
        legend_x += 200;
    }
    file << "</svg>\n";
}

}  // namespace anisehold::bench
