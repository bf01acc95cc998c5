#include "returning/fresh_deadlines.hpp"

#include <algorithm>
#include <cmath>

#include "protocol/half_life.hpp"

namespace anisehold::returning
{
namespace
{

/** Relative width of a bin. */
constexpr double binWidth = 0.005;
/** Half-life of an observation, in seconds: clients change their deadlines when they are updated. */
constexpr double halfLifeS = 300;
/** Time without observations after which a range is no longer used, in seconds. */
constexpr double maxAgeS = 1'800;
/** Time after a refusal during which nothing is learned: the longest Retry-After of an early refusal is 1.6 s
    with a deadline of 5 s. */
constexpr milliseconds quietTime{ 2'500 };
/** Minimum decayed number of requests from which a range is known. */
constexpr double minRequests = 100;
/** Part of the fresh requests that may have a deadline below the bound. */
constexpr double maxBelow = 0.005;

int binOf (milliseconds timeLeft)
{
    const auto ms = static_cast<double> (std::max<long long> (1, timeLeft.count()));
    return static_cast<int> (std::floor (std::log (ms) / std::log1p (binWidth)));
}

milliseconds lowerEdge (int bin)
{
    return milliseconds (static_cast<long long> (std::floor (std::pow (1 + binWidth, bin))));
}

/** Adds the count of the lowest bin to the next one, so that the bound may only become lower. */
void mergeLowestBins (DeadlineCounts& counts)
{
    const auto second = std::next (counts.bins.begin());
    const double moved = second->second;
    counts.bins.begin()->second += moved;
    counts.bins.erase (second);
}

} // namespace

void recordArrival (FreshDeadlines& state, TimePoint now, const std::string& route, milliseconds timeLeft,
                    bool isRefusing)
{
    if (! state.routes.contains (route) && state.routes.size() >= maxRoutes)
        return;

    auto& counts = state.routes[route];

    if (isRefusing)
        counts.refused = now;

    if (counts.refused != TimePoint{} && now - counts.refused < quietTime)
        return;

    const double kept = kept_part (std::max (Duration::zero(), now - counts.updated), halfLifeS);
    counts.updated = now;

    for (auto& [bin, count] : counts.bins)
        count *= kept;

    counts.bins[binOf (timeLeft)] += 1;
    counts.total = counts.total * kept + 1;

    if (counts.bins.size() > maxBins)
        mergeLowestBins (counts);
}

void recordRefusal (FreshDeadlines& state, TimePoint now, const std::string& route)
{
    const auto found = state.routes.find (route);

    if (found != state.routes.end())
        found->second.refused = now;
}

std::optional<milliseconds> smallestFresh (const FreshDeadlines& state, TimePoint now,
                                           const std::string& route)
{
    const auto found = state.routes.find (route);

    if (found == state.routes.end() || found->second.total < minRequests)
        return std::nullopt;

    const auto& counts = found->second;

    if (std::chrono::duration<double> (now - counts.updated).count() > maxAgeS)
        return std::nullopt;

    double below = 0;

    for (const auto& [bin, count] : counts.bins)
    {
        below += count;

        // One bin of margin for network latency and rounding.
        if (below > maxBelow * counts.total)
            return lowerEdge (bin - 1);
    }

    return std::nullopt;
}

} // namespace anisehold::returning
