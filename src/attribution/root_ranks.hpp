/** Ranks waiting calls of unknown root among those whose root is known.

    Addresses gates that serve both clients and servers (pricing serves quotes of clients and the calls of a
    ledger). Requests of clients are ordered by their own rank, which contains their tenant's priority, and
    calls of a known root by the rank of that root. A call of unknown root carries only the rank of its own
    route without a tenant, which isn't comparable: it could precede all clients, or follow all known calls.
    Such a call belongs to some root in progress, most likely to one like those of the other calls of its row.
    It gets the rank that the most important `minShare` of the row's known calls recently had: too early costs
    others one place, too late loses the work done for its chain. While no root of the row is known, it keeps
    its own rank.

    State: at most `maxRows` rows of at most `maxRanks` ranks for each server; no messages. Pure.
*/
#pragma once

#include <map>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::attribution
{

/** Decayed numbers of calls by the rank of their root. */
struct RankCounts
{
    std::map<unsigned, double> counts;
    TimePoint updated;
};

/** Ranks of the roots of the calls at one gate, by row of the calls. */
struct RootRanks
{
    std::map<std::string, RankCounts> rows;
};

/** Records a call of a known root. */
void recordKnownRoot (RootRanks&, TimePoint now, const std::string& row, unsigned rootRank);

/** Returns the rank by which a call of unknown root is ordered; `ownRank` if no root of the row is known. */
unsigned rankOfUnknownRoot (const RootRanks&, TimePoint now, const std::string& row, unsigned ownRank);

/** Part of a row's known calls, counted from the most important rank, that unknown calls are ordered with. */
inline constexpr double minShare = 0.2;

inline constexpr std::size_t maxRows = 64;
inline constexpr std::size_t maxRanks = 32;

} // namespace anisehold::attribution
