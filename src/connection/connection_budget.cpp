#include "connection/connection_budget.hpp"

#include <algorithm>

namespace anisehold::connection
{

namespace
{

void applyBytes (ConnectionBudget& budget, Holding& holding, std::size_t bytes)
{
    budget.bytes = budget.bytes - holding.bytes + bytes;

    if (holding.isWaiting)
        budget.waitingBytes = budget.waitingBytes - holding.bytes + bytes;

    holding.bytes = bytes;
}

/** Removes waiting connections, except one, until the others leave room for `bytes`. */
std::vector<ConnectionId> closeUntilFree (ConnectionBudget& budget, std::size_t maxBytes, ConnectionId except)
{
    std::vector<ConnectionId> closed;
    auto next = budget.waiting.begin();

    while (budget.bytes > maxBytes && next != budget.waiting.end())
    {
        const auto id = *next++;

        if (id == except)
            continue;

        removeConnection (budget, id);
        closed.push_back (id);
    }

    return closed;
}

/** Bytes of the waiting connections other than this one. */
std::size_t reclaimableBytes (const ConnectionBudget& budget, const Holding& holding)
{
    return budget.waitingBytes - (holding.isWaiting ? holding.bytes : 0);
}

} // namespace

RoomDecision openConnection (ConnectionBudget& budget, const BudgetLimits& limits, ConnectionId id,
                             std::size_t bytes)
{
    RoomDecision decision;

    if (budget.bytes - budget.waitingBytes + bytes > limits.bytes || limits.connections == 0)
        return decision;

    if (budget.holdings.size() >= limits.connections)
    {
        decision.closed = giveUpLongestWaiting (budget);

        if (decision.closed.empty())
            return decision;
    }

    decision.isGranted = true;
    const auto place = budget.waiting.insert (budget.waiting.end(), id);
    auto& holding = budget.holdings[id];
    holding = { 0, true, place };
    applyBytes (budget, holding, bytes);

    for (const auto closed : closeUntilFree (budget, limits.bytes, id))
        decision.closed.push_back (closed);

    return decision;
}

void removeConnection (ConnectionBudget& budget, ConnectionId id)
{
    const auto found = budget.holdings.find (id);

    if (found == budget.holdings.end())
        return;

    applyBytes (budget, found->second, 0);

    if (found->second.isWaiting)
        budget.waiting.erase (found->second.place);

    budget.holdings.erase (found);
}

RoomDecision requestBytes (ConnectionBudget& budget, const BudgetLimits& limits, ConnectionId id,
                           std::size_t bytes)
{
    const auto found = budget.holdings.find (id);

    if (found == budget.holdings.end())
        return {};

    auto& holding = found->second;
    const auto fixed = budget.bytes - holding.bytes - reclaimableBytes (budget, holding);

    if (bytes > holding.bytes && fixed + bytes > limits.bytes)
        return {};

    applyBytes (budget, holding, bytes);
    return { true, closeUntilFree (budget, limits.bytes, id) };
}

std::vector<ConnectionId> recordBytes (ConnectionBudget& budget, const BudgetLimits& limits, ConnectionId id,
                                       std::size_t bytes)
{
    const auto found = budget.holdings.find (id);

    if (found == budget.holdings.end())
        return {};

    applyBytes (budget, found->second, bytes);
    return closeUntilFree (budget, limits.bytes, id);
}

void setWaiting (ConnectionBudget& budget, ConnectionId id, bool isWaiting)
{
    const auto found = budget.holdings.find (id);

    if (found == budget.holdings.end() || found->second.isWaiting == isWaiting)
        return;

    auto& holding = found->second;
    holding.isWaiting = isWaiting;

    if (isWaiting)
    {
        holding.place = budget.waiting.insert (budget.waiting.end(), id);
        budget.waitingBytes += holding.bytes;
    }
    else
    {
        budget.waiting.erase (holding.place);
        budget.waitingBytes -= holding.bytes;
    }
}

std::vector<ConnectionId> giveUpLongestWaiting (ConnectionBudget& budget)
{
    if (budget.waiting.empty())
        return {};

    const auto id = budget.waiting.front();
    removeConnection (budget, id);
    return { id };
}

} // namespace anisehold::connection
