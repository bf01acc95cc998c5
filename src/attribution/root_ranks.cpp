#include "attribution/root_ranks.hpp"

#include <algorithm>

#include "protocol/half_life.hpp"

namespace anisehold::attribution
{
namespace
{

/** Half-life of a recorded call, in seconds: the mix of roots changes with bursts of several seconds. */
constexpr double halfLifeS = 2;
/** Decayed number of calls below which nothing is concluded. */
constexpr double minCalls = 1;
/** Ranks and rows with fewer calls are removed when there is no room for another. */
constexpr double minRetained = 0.01;

double keptAt (const RankCounts& ranks, TimePoint now)
{
    return kept_part (std::max (Duration::zero(), now - ranks.updated), halfLifeS);
}

double totalOf (const RankCounts& ranks)
{
    double total = 0;

    for (const auto& [rank, count] : ranks.counts)
        total += count;

    return total;
}

} // namespace

void recordKnownRoot (RootRanks& state, TimePoint now, const std::string& row, unsigned rootRank)
{
    if (! state.rows.contains (row) && state.rows.size() >= maxRows)
    {
        std::erase_if (state.rows, [&] (const auto& it)
                       { return totalOf (it.second) * keptAt (it.second, now) < minRetained; });

        if (state.rows.size() >= maxRows)
            return;
    }

    auto& ranks = state.rows[row];
    const double kept = keptAt (ranks, now);
    ranks.updated = now;

    for (auto& [rank, count] : ranks.counts)
        count *= kept;

    std::erase_if (ranks.counts, [] (const auto& it) { return it.second < minRetained; });

    if (ranks.counts.contains (rootRank) || ranks.counts.size() < maxRanks)
        ranks.counts[rootRank] += 1;
}

unsigned rankOfUnknownRoot (const RootRanks& state, TimePoint now, const std::string& row, unsigned ownRank)
{
    const auto found = state.rows.find (row);

    if (found == state.rows.end())
        return ownRank;

    const double total = totalOf (found->second);

    if (total * keptAt (found->second, now) < minCalls)
        return ownRank;

    double counted = 0;

    for (const auto& [rank, count] : found->second.counts)
    {
        counted += count;

        if (counted >= minShare * total)
            return rank;
    }

    return ownRank;
}

} // namespace anisehold::attribution
