/// @file
/// How often a sidecar sends its peers its record: often enough to notice silence, seldom enough that the
/// cost doesn't grow with the fleet. Pure; the sidecar sends by it, and the directory judges silence by it.
#pragma once

#include <cstddef>

#include "protocol/time_types.hpp"

namespace anisehold::membership {

/// Peers that are sent records, by where they are.
struct PeerCounts {
    std::size_t local = 0;   ///< Of the own zone.
    std::size_t remote = 0;  ///< Of other zones, or not heard yet.
};

/// How often a daemon sends its peers its record.
struct RecordPeriods {
    Duration local{};   ///< Peers of the own zone, which are sent most requests.
    Duration remote{};  ///< The others.
};

/// Once a second to each, and more slowly in a large fleet, so that no daemon sends more than forty records a
/// second. While services lack capacity all are sent records at the same period, which is shorter: the limit
/// of root requests rests on the counts of the whole fleet.
RecordPeriods record_periods(const PeerCounts& peers, bool under_pressure = false);

/// Least time between two announcements to all peers: as many records a second as under pressure.
Duration min_announcement_gap(const PeerCounts& peers);

}  // namespace anisehold::membership
