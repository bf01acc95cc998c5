#include "overload/capacity_share.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace anisehold::overload
{
namespace
{

/** Part of the capacity that is kept for the priorities below one that can't be served whole: it grows
    with what that one lacks, so that a small shortage hardly moves anything, from a least part to a most.
    Without it the lower ones get nothing, whatever little they need; with more the first one pays too much
    (docs/design/capacity-and-retries.md). */
constexpr double reservedPerShortfall = 1.0;
constexpr double minReserved = 0.08;
constexpr double maxReserved = 0.25;

/** Indices of the demands of one priority, the least first. */
using PriorityClass = std::vector<std::size_t>;

std::map<unsigned, PriorityClass> classesOf (const std::vector<RowDemand>& demands)
{
    std::map<unsigned, PriorityClass> classes;

    for (std::size_t n = 0; n < demands.size(); ++n)
        classes[demands[n].priority].push_back (n);

    for (auto& [priority, rows] : classes)
        std::sort (rows.begin(), rows.end(),
                   [&] (auto left, auto right) { return demands[left].work < demands[right].work; });

    return classes;
}

double totalWork (const std::vector<RowDemand>& demands, const PriorityClass& rows)
{
    double whole = 0;

    for (const auto n : rows)
        whole += demands[n].work;

    return whole;
}

/** What a priority with this demand leaves of the capacity to those below, whose demand is `lowerDemand`.
    They never get a greater share of theirs. */
double reservedForLower (double capacity, double demand, double lowerDemand)
{
    const double whole = demand + lowerDemand;

    if (whole <= 0 || capacity >= whole)
        return lowerDemand;

    const double lack = demand > 0 ? std::max (0.0, 1 - capacity / demand) : 0;
    const double kept = capacity * std::clamp (reservedPerShortfall * lack, minReserved, maxReserved);
    return std::min (kept, capacity * lowerDemand / whole);
}

/** Equal amounts to all; what one doesn't need goes to the others. */
void shareEqually (const std::vector<RowDemand>& demands, const PriorityClass& rows, double capacity,
                   std::vector<double>& shares)
{
    auto rowsLeft = rows.size();

    for (const auto n : rows)
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
    const auto classes = classesOf (demands);
    double lower = 0;

    for (const auto& [priority, rows] : classes)
        lower += totalWork (demands, rows);

    for (const auto& [priority, rows] : classes)
    {
        const double demand = totalWork (demands, rows);
        lower = std::max (0.0, lower - demand);
        const double given = std::min (demand, capacity - reservedForLower (capacity, demand, lower));
        shareEqually (demands, rows, given, shares);
        capacity -= given;
    }

    return shares;
}

} // namespace anisehold::overload
