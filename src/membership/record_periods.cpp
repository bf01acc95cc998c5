#include "membership/record_periods.hpp"

#include <algorithm>

namespace anisehold::membership {
namespace {

/// Minimum interval between two records to a peer, without pressure and while services are short of capacity.
constexpr milliseconds kNormalPeriod{1'000};
constexpr milliseconds kPressurePeriod{400};
/// Maximum number of records that one daemon sends, and therefore receives, per second. At a hundred per
/// second, a fleet of 295 spent a third of its processor time on records (0.0093 cores in the first 3 s of a
/// quiet day, 0.0060 at a tenth of the records).
constexpr double kMaxLocalRecordsPerSecond = 20;
constexpr double kMaxRemoteRecordsPerSecond = 20;
/// Maximum number of records per second while services are short of capacity. The limit of root requests is
/// updated once per period: in a fleet of 71 at 1.7 times the usual load, 200 per second (a period of 0.4 s)
/// yielded a worth of 0.672 and 100 (0.7 s) yielded 0.646. A large fleet uses the lower rate, because records
/// would otherwise exceed 17 KB per second and daemon.
constexpr double kMaxRecordsUnderPressure = 200;
constexpr double kMaxRecordsUnderPressureInLargeFleet = 100;
/// Fleet size up to which records are sent at the higher rate; the rate drops by one per second for each
/// further peer.
constexpr double kPeersAtMaxRecordRate = 100;

Duration time_at_rate(std::size_t count, double per_second) {
    const std::chrono::duration<double> time(static_cast<double>(count) / per_second);
    return std::chrono::duration_cast<Duration>(time);
}

}  // namespace

Duration min_announcement_gap(const PeerCounts& peers) {
    const auto count = peers.local + peers.remote;
    const double beyond = static_cast<double>(count) - kPeersAtMaxRecordRate;
    return time_at_rate(count, std::clamp(kMaxRecordsUnderPressure - beyond,
                                          kMaxRecordsUnderPressureInLargeFleet, kMaxRecordsUnderPressure));
}

RecordPeriods record_periods(const PeerCounts& peers, bool under_pressure) {
    if (under_pressure) {
        const auto period = std::max<Duration>(kPressurePeriod, min_announcement_gap(peers));
        return {period, period};
    }
    const auto local =
        std::max<Duration>(kNormalPeriod, time_at_rate(peers.local, kMaxLocalRecordsPerSecond));
    return {local, std::max(local, time_at_rate(peers.remote, kMaxRemoteRecordsPerSecond))};
}

}  // namespace anisehold::membership
