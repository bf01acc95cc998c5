#include "overload/capacity_limit.hpp"

#include <algorithm>

namespace anisehold::overload
{
namespace
{

using PriorityClass = std::vector<const LimitedRow*>;

double unitsOf (const LimitedRow& demand)
{
    return demand.perSecond * demand.perRequest;
}

/** Returns the rows by priority, and within one by ascending need per request. */
std::map<unsigned, PriorityClass> classesOf (const CapacityLimit& limit)
{
    std::map<unsigned, PriorityClass> classes;

    for (const auto& it : limit.demands)
        classes[it.priority].push_back (&it);

    for (auto& [priority, rows] : classes)
        std::stable_sort (rows.begin(), rows.end(),
                          [] (const auto* left, const auto* right)
                          { return left->perRequest < right->perRequest; });

    return classes;
}

/** Divides `capacity` among the rows of one priority; returns what remains. */
double shareClass (const PriorityClass& rows, double capacity, RowShares& shares)
{
    double demand = 0;

    for (const auto* it : rows)
        demand += unitsOf (*it);

    const double floorShare = demand > 0 ? std::min (rowFloor, capacity / demand) : rowFloor;
    capacity = std::max (0.0, capacity - floorShare * demand);

    for (const auto* it : rows)
    {
        const double units = unitsOf (*it);
        const double granted = std::min (capacity, (1 - floorShare) * units);
        // Exactly 1 if nothing is missing: a share below 1 has side effects, however small the difference.
        const bool isWhole = granted >= (1 - floorShare) * units;
        const bool isFree = units <= 0 || (isWhole && floorShare >= rowFloor);
        shares[it->row] = isFree ? 1 : floorShare + granted / units;
        capacity -= granted;
    }

    return capacity;
}

} // namespace

double demandOf (const CapacityLimit& limit)
{
    double demand = 0;

    for (const auto& it : limit.demands)
        demand += unitsOf (it);

    return demand;
}

RowShares sharesWithin (const CapacityLimit& limit)
{
    RowShares shares;
    double capacity = std::max (0.0, limit.capacity);

    for (const auto& [priority, rows] : classesOf (limit))
        capacity = shareClass (rows, capacity, shares);

    return shares;
}

} // namespace anisehold::overload
