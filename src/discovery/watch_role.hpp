/** Decides which daemons watch the store for new configurations.

    A call to the store is expensive, and the fleet shares one rate limit for these calls. So a few daemons of
    each zone watch, and all others, in all zones, get new configurations from the watchers. Watchers are
    appointed without messages: every daemon ranks the reachable members of its own zone by rendezvous hash. A
    daemon that knows of no working watch in its zone stands in after a random delay, so that a fleet whose
    watchers have all been killed or refused finds a replacement without all daemons calling the store at
    once. Owns the role of one daemon; relies on the directory of peers for which peers are reachable and
    which of them watch. Pure.
*/
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::discovery
{

/** Returns a random number in [0, 1). */
using UnitRandom = std::function<double()>;

/** Whether, and why, a daemon watches the store. */
enum class WatchRole
{
    none,      /**< Gets configurations from peers. */
    appointed, /**< One of its zone's watchers. */
    standIn    /**< Watches because no peer of the zone has a working watch. */
};

/** Returns the stable lower-case name for logs. */
std::string_view roleName (WatchRole);

/** A daemon's view of its fleet. */
struct WatchView
{
    std::string ownName;
    std::vector<std::string> zonePeers; /**< Reachable members of the local zone, without this daemon. */
    std::size_t knownPeers = 0;         /**< Known peers in all zones. */
    bool hasPeerWatch = false;          /**< A reachable peer of the local zone has a working watch. */
};

/** State of one daemon between two updates of its role. */
struct WatchState
{
    WatchRole role = WatchRole::none;
    TimePoint lastPeerWatch; /**< When a peer last had a working watch, or a stand-in's attempt failed. */
    Duration standInDelay{}; /**< Delay after `lastPeerWatch` before this daemon stands in; 0 until drawn. */
};

/** Watchers per zone; two, so that the zone tolerates the loss of one. */
inline constexpr std::size_t watchersPerZone = 2;

/** Whether the daemon is one of its zone's watchers. */
bool isAppointed (const std::string& ownName, const std::vector<std::string>& zonePeers);

/** Updates the role. A stand-in keeps its role until a peer has a working watch. */
WatchRole updateRole (WatchState&, TimePoint now, const WatchView&, const UnitRandom&);

/** Records that the store didn't serve a stand-in, which then waits for a new delay. */
void recordFailedAttempt (WatchState&, TimePoint now);

} // namespace anisehold::discovery
