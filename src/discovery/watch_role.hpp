/** Which daemons watch the store for new configurations.

    A call to the store is dear and its rate is shared by the fleet, so a few daemons of each zone watch, and
    the others, of all zones, get a new configuration from those. The watchers are appointed without a
   message: every daemon ranks the reachable members of its own zone by rendezvous hash. A daemon that hears
   of no working watch in its zone stands in, after a time drawn at random, so that a fleet whose
   watchers are all killed or refused finds another one without calling all at once. Owns the role of one
   daemon; relies on the directory of peers for who is reachable and who watches. Pure.
*/
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/time_types.hpp"

namespace anisehold::discovery
{

/** Returns a number in [0, 1). */
using UnitRandom = std::function<double()>;

/** Whether, and why, a daemon watches the store. */
enum class WatchRole
{
    none,      /**< Configurations come from peers. */
    appointed, /**< One of its zone's watchers. */
    standIn    /**< No peer of the zone has a working watch. */
};

/** Stable lower-case name, for logs. */
std::string_view roleName (WatchRole);

/** What a daemon knows of its fleet. */
struct WatchView
{
    std::string ownName;
    std::vector<std::string> zonePeers; /**< Reachable members of the own zone, without itself. */
    std::size_t knownPeers = 0;         /**< Of all zones. */
    bool hasPeerWatch = false;          /**< A reachable peer of the own zone has a working watch. */
};

/** What one daemon remembers between two reviews of its role. */
struct WatchState
{
    WatchRole role = WatchRole::none;
    TimePoint lastPeerWatch; /**< When a peer last had a working watch, or a stand-in's attempt failed. */
    Duration standInDelay{}; /**< How long after that this daemon stands in; 0 until it is drawn. */
};

/** Watchers in each zone: one may be gone without its zone noticing. Chosen, not measured. */
inline constexpr std::size_t watchersPerZone = 2;

/** Whether the daemon is one of its zone's watchers. */
bool isAppointed (const std::string& ownName, const std::vector<std::string>& zonePeers);

/** Reviews the role. A stand-in goes on until a peer has a working watch. */
WatchRole updateRole (WatchState&, TimePoint now, const WatchView&, const UnitRandom&);

/** The store didn't serve a stand-in: it waits again before its next attempt. */
void recordFailedAttempt (WatchState&, TimePoint now);

} // namespace anisehold::discovery
