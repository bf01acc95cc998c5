#include "selection/server_selection.hpp"

#include <algorithm>
#include <cmath>

namespace anisehold::selection
{
namespace
{

using membership::KnownServer;

/** Taken for the mean latency if no server was measured. */
constexpr double guessedLatencyUs = 100'000;
/** Another zone costs this much more: its bytes are dear and its way is longer. */
constexpr double otherZoneFactor = 2.5;
constexpr double coldFactor = 2.0;
/** A failure costs this many times the mean latency. */
constexpr double failureWeight = 30.0;
/** Weight of the newest result in the moving share of failures. */
constexpr double failureSample = 0.4;
/** A server's own gate sees all of its requests; a share below this is ordinary. */
constexpr double ordinaryShare = 0.1;
constexpr double shareOfPercent = 0.01;
/** A share below this is forgotten. */
constexpr double negligibleShare = 0.01;
/** How steeply the cost rises as the server fills. */
constexpr double loadWeight = 6.0;
/** Servers that are looked at in the own zone, and in the others. */
constexpr std::size_t numLookedAt = 2;

using Candidates = std::vector<const KnownServer*>;

/** What this daemon saw itself, or what the server's gate tells, whichever is worse. */
double failureShare (const SelectionState& state, TimePoint now, const membership::ServerRecord& server)
{
    const auto it = state.failures.find (server.instance);
    const double seen = it == state.failures.end() ? 0 : shareOf (it->second, now);
    return std::max (seen, shareOfPercent * server.failed_percent - ordinaryShare);
}

/** Moves up to `numLookedAt` random candidates to the front and drops the rest. */
void drawSome (Candidates& candidates, const UnitRandom& random)
{
    const auto n = std::min (candidates.size(), numLookedAt);

    for (std::size_t i = 0; i < n; ++i)
    {
        const auto rest = candidates.size() - i;
        const auto drawn = static_cast<std::size_t> (random() * static_cast<double> (rest));
        std::swap (candidates[i], candidates[i + std::min (drawn, rest - 1)]);
    }

    candidates.resize (n);
}

} // namespace

void noteSent (SelectionState& state, const std::string& instance)
{
    ++state.underWay[instance];
}

bool speaksAgainstServer (const AttemptEnd& end)
{
    return end.wasGivenUp ? end.taken >= end.slowAfter : end.serverFailed;
}

void noteEnded (SelectionState& state, TimePoint now, const std::string& instance, bool failed)
{
    const auto own = state.underWay.find (instance);

    if (own != state.underWay.end() && --own->second == 0)
        state.underWay.erase (own);

    auto& failures = state.failures[instance];
    noteResult (failures, now, failed, failureSample);

    if (failures.share < negligibleShare)
        state.failures.erase (instance);
}

double meanLatencyUs (const std::vector<KnownServer>& servers)
{
    double sum = 0;
    double n = 0;

    for (const auto& it : servers)
    {
        if (it.server.latency_us == 0)
            continue;

        sum += it.server.latency_us;
        ++n;
    }

    return n > 0 ? sum / n : guessedLatencyUs;
}

double expectedCost (const SelectionState& state, TimePoint now, const KnownServer& known, double meanUs)
{
    const auto& server = known.server;
    const auto own = state.underWay.find (server.instance);
    const unsigned underWay = own == state.underWay.end() ? 0 : own->second;
    const double busy = std::max (server.in_flight + server.queued, underWay);
    const double limit = std::max (1U, server.limit);
    const double fill = (busy + 1.0) / limit;
    const double latency = server.latency_us == 0 ? meanUs : server.latency_us;
    double cost = latency * (1.0 + loadWeight * fill * fill * fill);
    cost += failureWeight * meanUs * std::max (failureShare (state, now, server), 0.0);

    if (known.zone != state.ownZone)
        cost *= otherZoneFactor;

    if (milliseconds (server.cold_ms) > known.age)
        cost *= coldFactor;

    return cost;
}

std::optional<KnownServer> chooseServer (const SelectionState& state, TimePoint now,
                                         const std::vector<KnownServer>& servers,
                                         const std::vector<std::string>& tried, const UnitRandom& random)
{
    Candidates near;
    Candidates far;

    for (const auto& it : servers)
    {
        if (std::find (tried.begin(), tried.end(), it.server.instance) != tried.end())
            continue;

        (it.zone == state.ownZone ? near : far).push_back (&it);
    }

    const double meanUs = meanLatencyUs (servers);
    drawSome (near, random);
    drawSome (far, random);
    near.insert (near.end(), far.begin(), far.end());

    const auto best = std::min_element (
        near.begin(), near.end(),
        [&] (const KnownServer* a, const KnownServer* b)
        { return expectedCost (state, now, *a, meanUs) < expectedCost (state, now, *b, meanUs); });

    if (best == near.end())
        return std::nullopt;

    return **best;
}

} // namespace anisehold::selection
