/** Decides whether a listener has room for a connection or a request, and which connections it closes to make
    room.

    A limit for each connection bounds no sum: many connections, each within its limits, may need more memory
    than the machine has. The budget bounds the sum over a listener's connections. Connections without a
    request in progress are closed for others, those first that have waited longest for a whole request;
    requests in progress are never given up. The listener owns the budget, estimates what each connection
    holds, and carries out the decisions (net/http_server). Pure.
*/
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace anisehold::connection
{

/** Number of a connection, unique in its listener. */
using ConnectionId = std::uint64_t;

/** What the connections of one listener may hold together. */
struct BudgetLimits
{
    std::size_t connections = 0;
    std::size_t bytes = 0;
};

/** What one connection holds. */
struct Holding
{
    std::size_t bytes = 0;
    bool isWaiting = true;                   /**< No request of the connection is in progress. */
    std::list<ConnectionId>::iterator place; /**< Its place in `waiting`, if it is waiting. */
};

/** The connections of one listener. */
struct ConnectionBudget
{
    std::unordered_map<ConnectionId, Holding> holdings;
    std::list<ConnectionId> waiting; /**< Those without a request in progress, longest first. */
    std::size_t bytes = 0;           /**< Sum over all connections. */
    std::size_t waitingBytes = 0;    /**< Sum over those in `waiting`. */
};

/** Whether there is room, and the connections to close for it. */
struct RoomDecision
{
    bool isGranted = false;
    std::vector<ConnectionId> closed; /**< Already removed from the budget; empty if not granted. */
};

/** Adds a connection that waits for its first request and holds `bytes`. */
RoomDecision openConnection (ConnectionBudget&, const BudgetLimits&, ConnectionId, std::size_t bytes);

/** Removes a connection; has no effect if it was removed before. */
void removeConnection (ConnectionBudget&, ConnectionId);

/** Sets what a connection holds if there is room for it; what is released is always granted. Nothing changes
    if there is no room, or for a removed connection, which has none. */
RoomDecision requestBytes (ConnectionBudget&, const BudgetLimits&, ConnectionId, std::size_t bytes);

/** Sets what a connection holds already, such as a response that has arrived, whether or not there is room.
    Returns the connections to close. */
std::vector<ConnectionId> recordBytes (ConnectionBudget&, const BudgetLimits&, ConnectionId,
                                       std::size_t bytes);

/** Records whether the connection has a request in progress. */
void setWaiting (ConnectionBudget&, ConnectionId, bool isWaiting);

/** Removes the connection that has waited longest and returns it; nothing if none waits. For a process that
    lacks something other than the budget's room, such as descriptors. */
std::vector<ConnectionId> giveUpLongestWaiting (ConnectionBudget&);

} // namespace anisehold::connection
