/** Selects a server for a request by expected cost, from load, latency, zone and recent failures.

    Owns what this daemon has observed of servers itself (SelectionState). Relies on the view of a service
    (membership/peer_directory): the known servers of the local zone and of other zones, each list with this
    daemon's preferred servers first, with the load that their gates reported. Suspect requests are routed
    elsewhere (suspects/suspect_server).

    A daemon prefers few servers, which keeps connections few and warm: with draws from all 295 servers of a
    fleet one simulated day took 70.6 s, with six preferred servers of the local zone and three of other zones
    62.4 s.

    Plain state and free functions. Pure.
*/
#pragma once

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/peer_directory.hpp"
#include "protocol/time_types.hpp"
#include "selection/failure_share.hpp"

namespace anisehold::selection
{

/** Returns a random number in [0, 1). */
using UnitRandom = std::function<double()>;

/** Criteria of the selection. All are on, except in the lab. */
struct SelectionRules
{
    bool usesPreferredServers = true;
    bool prefersOwnZone = true;
    bool avoidsCold = true;
    bool avoidsFailing = true;
    bool usesPresentSpeed = true;
};

/** One daemon's own observations of servers, by instance. */
struct SelectionState
{
    std::string ownZone;
    std::unordered_map<std::string, unsigned> inFlight; /**< Requests of this daemon that are in flight. */
    std::unordered_map<std::string, FailureShare> failures;
    SelectionRules rules{};
    /** Lowest share of arrivals, from 0 to 1, that a server of the service at hand declines whatever its
       load. A server is avoided only for what it declines beyond this share: with all servers declining
       alike, nothing is gained by avoiding one. Set before each choice. */
    double commonDeclined = 0;
};

/** Returns the lowest share of arrivals that a server of the view declines. */
double lowestDeclinedShare (const membership::ServiceView&);

/** Returns the cheapest of the view's servers named in `instances`; null if there is none. */
const membership::KnownServer* chooseAmong (const SelectionState&, TimePoint now,
                                            const membership::ServiceView&,
                                            const std::set<std::string>& instances);

/** Records that a request was sent to the server. */
void recordSent (SelectionState&, const std::string& instance);

/** Result of one attempt to send a request to a server. */
struct AttemptResult
{
    bool wasAbandoned = false; /**< Given up by this daemon: timed out, or another server was faster. */
    bool serverFailed = false; /**< No complete response, or the server refused the request. */
    Duration elapsed{};
    Duration slowThreshold{}; /**< Time after which a silent server counts as slow. */
};

/** Whether the result counts as a failure of the server. An attempt abandoned after a long time without a
    response does; otherwise a machine that can't be reached, but whose gossip arrives, would receive
    requests forever. */
bool countsAsFailure (const AttemptResult&);

/** Records the end of a request. `failed`: the server sent no complete response, or none in time. */
void recordEnded (SelectionState&, TimePoint now, const std::string& instance, bool failed);

/** Returns the expected cost of a request to the server, in microseconds of the caller's time; lower is
    better. `meanUs`, the mean latency over the service's servers, scales the cost of failures and stands
    in for the latency of a server without measurements. A server that fails fast must not appear cheap,
    nor an untried one expensive. */
double expectedCost (const SelectionState&, TimePoint now, const membership::KnownServer&, double meanUs);

/** A server that was not chosen because of failures that this daemon observed. */
struct AvoidedServer
{
    const membership::KnownServer* server = nullptr;
    double failures = 0;   /**< Current share of failures. */
    double cost = 0;       /**< As returned by `expectedCost`. */
    double chosenCost = 0; /**< Expected cost of the chosen server. */
};

/** Returns the servers of the view that this daemon has seen fail and whose cost currently exceeds that of
    `chosen`. */
std::vector<AvoidedServer> avoidedServers (const SelectionState&, TimePoint now,
                                           const membership::ServiceView&,
                                           const membership::KnownServer& chosen);

/** Returns a server of the view that isn't in `tried`; null if there is none.

    Compares two random preferred servers of the local zone, two of other zones and the local server, and
    returns the cheapest. So the local zone serves its own requests while it has free slots, simultaneous
    choices of a fleet spread over the servers, and connections stay few and warm. If the cheapest is nearly
    full or failing, or the request was sent before, the same number of servers is also drawn from all
    servers.
*/
const membership::KnownServer* chooseServer (const SelectionState&, TimePoint now,
                                             const membership::ServiceView&,
                                             const std::vector<std::string>& tried, const UnitRandom&);

} // namespace anisehold::selection
