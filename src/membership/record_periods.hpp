/// @file
/// Intervals at which a sidecar sends its record to its peers: short enough to detect silence, long enough
/// that the cost does not grow with the fleet. Owns no state. The sidecar sends by these intervals, and the
/// directory derives its silence timeouts from them. Pure.
#pragma once

#include <cstddef>

#include "protocol/time_types.hpp"

namespace anisehold::membership {

/// Number of peers that receive records, by zone.
struct PeerCounts {
    std::size_t local = 0;   ///< Peers in the local zone.
    std::size_t remote = 0;  ///< Peers in other zones or not seen yet.
};

/// Intervals at which a daemon sends its record to its peers.
struct RecordPeriods {
    Duration local{};   ///< Interval for peers in the local zone, which receive most requests.
    Duration remote{};  ///< Interval for all other peers.
};

/// One second per peer, longer in a large fleet, so that no daemon sends more than forty records a second.
/// While services are short of capacity, all peers get the same, shorter interval, because the limit of root
/// requests is computed from the counts of the whole fleet.
RecordPeriods record_periods(const PeerCounts& peers, bool under_pressure = false);

/// Minimum time between two announcements to all peers; allows as many records per second as under pressure.
Duration min_announcement_gap(const PeerCounts& peers);

}  // namespace anisehold::membership
