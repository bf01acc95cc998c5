#include "overload/capacity_share.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace anisehold::overload
{
namespace
{

/** Part of the capacity reserved for the lower priorities when a priority can't be served completely:
    proportional to the shortfall of that priority, so that a small shortage changes little, and clamped to
    a minimum and a maximum. Without a reserve the lower priorities get nothing, however little they need;
    a larger reserve takes too much from the higher priority. */
constexpr double reservedPerShortfall = 1.0;
constexpr double minReserved = 0.08;
constexpr double maxReserved = 0.25;

/** Indices of the demands of one priority, by ascending work. */
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
    double total = 0;

    for (const auto n : rows)
        total += demands[n].work;

    return total;
}

/** Returns the capacity that a priority with this demand leaves to the lower priorities, whose demand is
    `lowerDemand`. The lower priorities never get a greater share of their demand than the higher one. */
double reservedForLower (double capacity, double demand, double lowerDemand)
{
    const double total = demand + lowerDemand;

    if (total <= 0 || capacity >= total)
        return lowerDemand;

    const double shortfall = demand > 0 ? std::max (0.0, 1 - capacity / demand) : 0;
    const double reserved =
        capacity * std::clamp (reservedPerShortfall * shortfall, minReserved, maxReserved);
    return std::min (reserved, capacity * lowerDemand / total);
}

/** Divides the capacity equally among the rows; capacity that a row doesn't need goes to the others. */
void shareEqually (const std::vector<RowDemand>& demands, const PriorityClass& rows, double capacity,
                   std::vector<double>& shares)
{
    auto rowsLeft = rows.size();

    for (const auto n : rows)
    {
        const double granted = std::min (demands[n].work, capacity / static_cast<double> (rowsLeft));
        shares[n] = demands[n].work > 0 ? granted / demands[n].work : 1;
        capacity -= granted;
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
        const double granted = std::min (demand, capacity - reservedForLower (capacity, demand, lower));
        shareEqually (demands, rows, granted, shares);
        capacity -= granted;
    }

    return shares;
}

} // namespace anisehold::overload
