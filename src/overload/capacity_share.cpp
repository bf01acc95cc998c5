#include "overload/capacity_share.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace anisehold::overload
{
namespace
{

/** Part of the room that is kept for the ranks below one that can't be served whole: it grows with what that
   rank lacks, so that a small shortage hardly moves anything, from a least part to a most. In a model of a
   chain with a third of its room left (three rows of 8, 4 and 1 calls, mean of 10 seeds) 0.257 of all
   requests were served, and two rows not at all, when nothing was kept; 0.296, and 0.07 and 0.53 of those
   rows, so. A most of 0.4 serves 0.305 of all, but of the first row 0.46 in place of 0.52. */
constexpr double keptPerLack = 1.0;
constexpr double leastKept = 0.08;
constexpr double mostKept = 0.25;

/** Indices of one rank's demands, the least first. */
using Rank = std::vector<std::size_t>;

std::map<unsigned, Rank> ranksOf (const std::vector<RowDemand>& demands)
{
    std::map<unsigned, Rank> ranks;

    for (std::size_t n = 0; n < demands.size(); ++n)
        ranks[demands[n].priority].push_back (n);

    for (auto& [priority, rank] : ranks)
        std::sort (rank.begin(), rank.end(),
                   [&] (auto left, auto right) { return demands[left].work < demands[right].work; });

    return ranks;
}

double wholeOf (const std::vector<RowDemand>& demands, const Rank& rank)
{
    double whole = 0;

    for (const auto n : rank)
        whole += demands[n].work;

    return whole;
}

/** What a rank with this demand leaves of the room to the ranks below, which ask for so much. They never get
   a greater share of what they ask for. */
double keptForLower (double capacity, double demand, double lowerDemand)
{
    const double whole = demand + lowerDemand;

    if (whole <= 0 || capacity >= whole)
        return lowerDemand;

    const double lack = demand > 0 ? std::max (0.0, 1 - capacity / demand) : 0;
    const double kept = capacity * std::clamp (keptPerLack * lack, leastKept, mostKept);
    return std::min (kept, capacity * lowerDemand / whole);
}

/** Equal amounts to all; what one doesn't need goes to the others. */
void shareEqually (const std::vector<RowDemand>& demands, const Rank& rank, double capacity,
                   std::vector<double>& shares)
{
    auto rowsLeft = rank.size();

    for (const auto n : rank)
    {
        const double given = std::min (demands[n].work, capacity / static_cast<double> (rowsLeft));
        shares[n] = demands[n].work > 0 ? given / demands[n].work : 1;
        capacity -= given;
        --rowsLeft;
    }
}

} // namespace

std::vector<double> shareCapacity (const std::vector<RowDemand>& demands, double capacity)
{
    std::vector<double> shares (demands.size(), 1.0);
    const auto ranks = ranksOf (demands);
    double lower = 0;

    for (const auto& [priority, rank] : ranks)
        lower += wholeOf (demands, rank);

    for (const auto& [priority, rank] : ranks)
    {
        const double demand = wholeOf (demands, rank);
        lower = std::max (0.0, lower - demand);
        const double given = std::min (demand, capacity - keptForLower (capacity, demand, lower));
        shareEqually (demands, rank, given, shares);
        capacity -= given;
    }

    return shares;
}

} // namespace anisehold::overload
