#include "membership/record_periods.hpp"

#include <algorithm>

namespace anisehold::membership {
namespace {

/// Shortest time between two records to a peer, in calm times and while services lack capacity. Chosen; the
/// second one's effect is measured below.
constexpr milliseconds kCalmPeriod{1'000};
constexpr milliseconds kPressurePeriod{400};
/// Records that one daemon sends, and so receives, in a second. At a hundred, a fleet of 295 spent a third of
/// its processor time on them (the first 3 s of a quiet day: 0.0093 cores, 0.0060 at a tenth of the records).
constexpr double kMostNearPerSecond = 20;
constexpr double kMostFarPerSecond = 20;
/// The same while services lack capacity: the limit of root requests moves once a period. In a fleet of 71,
/// 200 (a period of 0.4 s) gave a worth of 0.672 at 1.7 times the usual load, 100 (0.7 s) 0.646, one day
/// each. A large fleet keeps to fewer: the bytes of records would go over 17 KB a second and daemon.
constexpr double kMostUnderPressure = 200;
constexpr double kMostUnderPressureInLargeFleet = 100;
/// Peers up to which a fleet sends records at the higher rate; it falls by one a second for each further
/// peer.
constexpr double kPeersAtMostRecords = 100;

Duration time_at_rate(std::size_t count, double per_second) {
    const std::chrono::duration<double> time(static_cast<double>(count) / per_second);
    return std::chrono::duration_cast<Duration>(time);
}

}  // namespace

Duration min_announcement_gap(const PeerCounts& peers) {
    const auto count = peers.local + peers.remote;
    const double beyond = static_cast<double>(count) - kPeersAtMostRecords;
    return time_at_rate(
        count, std::clamp(kMostUnderPressure - beyond, kMostUnderPressureInLargeFleet, kMostUnderPressure));
}

RecordPeriods record_periods(const PeerCounts& peers, bool under_pressure) {
    if (under_pressure) {
        const auto period = std::max<Duration>(kPressurePeriod, min_announcement_gap(peers));
        return {period, period};
    }
    const auto local = std::max<Duration>(kCalmPeriod, time_at_rate(peers.local, kMostNearPerSecond));
    return {local, std::max(local, time_at_rate(peers.remote, kMostFarPerSecond))};
}

}  // namespace anisehold::membership
