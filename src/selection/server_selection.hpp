/** The choice of a server by what is known of its load, latency, zone and recent failures.

    Owns what this daemon has seen itself of servers (SelectionState). Relies on the view of a service
    (membership/peer_directory): the servers that are known, near ones and far ones, this daemon's usual ones
    first, with the load that their gates reported. Suspects don't come here (suspects/suspect_server).

    Few usual servers, since connections are then few and warm: with draws from all 295 servers of a fleet a
    calm day's play took 70.6 s, with six usual ones of the own zone and three of others 62.4 s (one run
    each).

    Plain state and free functions over it. Pure.
*/
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/peer_directory.hpp"
#include "protocol/time_types.hpp"
#include "selection/failure_share.hpp"

namespace anisehold::selection
{

/** Returns a number in [0, 1). */
using UnitRandom = std::function<double()>;

/** What counts in the choice. All does, but in the lab. */
struct SelectionRules
{
    bool usesPreferredServers = true;
    bool prefersOwnZone = true;
    bool avoidsCold = true;
    bool avoidsFailing = true;
};

/** What one daemon has seen of servers itself, by instance. */
struct SelectionState
{
    std::string ownZone;
    std::unordered_map<std::string, unsigned>
        inFlight; /**< Requests that this daemon has sent and not seen end. */
    std::unordered_map<std::string, FailureShare> failures;
    SelectionRules rules{};
};

/** Records that a request goes to the server. */
void recordSent (SelectionState&, const std::string& instance);

/** How the sending of a request to a server ended. */
struct AttemptResult
{
    bool wasAbandoned = false; /**< By this daemon: its time was up, or another server had answered. */
    bool serverFailed = false; /**< No whole answer came, or the server declined. */
    Duration elapsed{};
    Duration slowThreshold{}; /**< Time after which a silent server is slow for such a request. */
};

/** Whether the end speaks against the server. One that was given up after a long silence does: a machine that
    can't be reached, but can be heard, would get requests for ever. */
bool countsAsFailure (const AttemptResult&);

/** Records its end. `failed`: the server gave no whole answer, or none in time. */
void recordEnded (SelectionState&, TimePoint now, const std::string& instance, bool failed);

/** Expected cost of a request there, in microseconds of the caller's time; lower is better. `meanUs`, of all
    servers of the service, is the scale of a failure, and is taken for a server of which no answer was
    measured. A server that fails fast must not look cheap, nor one that nobody has tried dear. */
double expectedCost (const SelectionState&, TimePoint now, const membership::KnownServer&, double meanUs);

/** A server that this daemon saw fail, and that wasn't chosen. */
struct AvoidedServer
{
    const membership::KnownServer* server = nullptr;
    double failures = 0;   /**< The share that counts now. */
    double cost = 0;       /**< As `expectedCost`. */
    double chosenCost = 0; /**< Of the server that was chosen. */
};

/** The servers of the view that this daemon has seen fail and that cost more than `chosen` now. */
std::vector<AvoidedServer> avoidedServers (const SelectionState&, TimePoint now,
                                           const membership::ServiceView&,
                                           const membership::KnownServer& chosen);

/** A server of the view that isn't in `tried`; null if there is none.

    Two random ones of the own zone's usual servers, two of the others' and the one beside this daemon are
    looked at, and the cheapest is taken. So the own zone serves its requests while it has free slots, a
    fleet that chooses at the same time spreads, and connections stay few and warm. If the cheapest is
    nearly full or fails, or the request was sent before, the same number of all servers is looked at too.
*/
const membership::KnownServer* chooseServer (const SelectionState&, TimePoint now,
                                             const membership::ServiceView&,
                                             const std::vector<std::string>& tried, const UnitRandom&);

} // namespace anisehold::selection
