#include "selection/server_selection.hpp"

#include <algorithm>
#include <limits>

#include "speed/server_speed.hpp"

namespace anisehold::selection
{
namespace
{

using membership::KnownServer;
using membership::ServiceView;

/** Mean latency assumed if no server's latency was measured, in microseconds. */
constexpr double defaultLatencyUs = 100'000;
/** Cost factor of servers in other zones: traffic there costs more and takes longer. */
constexpr double remoteZoneFactor = 2.5;
/** Cost factor of a server that is still cold. */
constexpr double coldFactor = 2.0;
/** Cost of a failed request, as a multiple of the mean latency. */
constexpr double failureWeight = 30.0;
/** Weight of the newest result in the moving share of failures. */
constexpr double failureSample = 0.4;
/** Share of failures that is normal for a server and adds no cost. Applies to the share that the server's
    gate reports, which covers all of the server's requests. */
constexpr double toleratedShare = 0.1;
constexpr double shareOfPercent = 0.01;
/** A lower share of failures is discarded. */
constexpr double negligibleShare = 0.01;
/** Weight of a server's load in its cost. */
constexpr double loadWeight = 6.0;
/** Load and share of failures from which a chosen server is compared with others: before the server has to
    queue requests, and from the first failure that this daemon observes. */
constexpr double fullShare = 0.75;
constexpr double highFailureShare = 0.1;
/** Present slowness from which a chosen server is compared with others. */
constexpr double highSlowness = 1.3;
/** Maximum draws from all servers while the cheapest candidate is overloaded or failing. If a quarter of
    all servers fail, one in ten thousand requests draws only failing servers. */
constexpr int maxFallbackDraws = 3;
/** Candidates drawn from the local zone, and from the other zones: power of two choices. */
constexpr std::size_t candidatesPerDraw = 2;

using Candidates = std::vector<const KnownServer*>;

/** Returns the greater of the share of failures that this daemon observed and the one that the server's
    gate reports. */
double failureShare (const SelectionState& state, TimePoint now, const membership::ServerRecord& server)
{
    if (! state.rules.avoidsFailing)
        return 0;

    const auto it = state.failures.find (server.instance);
    const double seen = it == state.failures.end() ? 0 : currentShare (it->second, now);
    const double failed = std::max (seen, shareOfPercent * server.failed_percent - toleratedShare);
    const double declined = shareOfPercent * server.declined_percent - state.commonDeclined;
    return std::max (failed, declined - toleratedShare);
}

/** Returns the scale of a failure's cost: the mean latency of the service's servers, in microseconds. */
double failureScaleUs (const ServiceView& view)
{
    return view.mean_latency_us > 0 ? view.mean_latency_us : defaultLatencyUs;
}

/** Appends up to `candidatesPerDraw` of the first `size` candidates to `drawn`, chosen at random. */
void drawSome (const Candidates& candidates, std::size_t size, const UnitRandom& random, Candidates& drawn)
{
    if (size <= candidatesPerDraw)
    {
        drawn.insert (drawn.end(), candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t> (size));
        return;
    }

    const auto draw = [&] (std::size_t n)
    { return std::min (static_cast<std::size_t> (random() * static_cast<double> (n)), n - 1); };
    const auto first = draw (size);
    const auto second = draw (size - 1);
    drawn.push_back (candidates[first]);
    drawn.push_back (candidates[second < first ? second : second + 1]);
}

bool wasTried (const KnownServer& known, const std::vector<std::string>& tried)
{
    return std::find (tried.begin(), tried.end(), known.server.instance) != tried.end();
}

Candidates untried (const Candidates& candidates, const std::vector<std::string>& tried)
{
    Candidates others;

    for (const auto* it : candidates)
    {
        if (wasTried (*it, tried))
            continue;

        others.push_back (it);
    }

    return others;
}

/** Draws some of the preferred servers, and adds the local server, which is always the nearest. */
Candidates drawPreferred (const ServiceView& view, const UnitRandom& random)
{
    Candidates drawn;
    drawn.reserve (2 * candidatesPerDraw + 1);

    if (view.own != nullptr)
        drawn.push_back (view.own);

    drawSome (view.local, view.preferred_local, random, drawn);
    drawSome (view.remote, view.preferred_remote, random, drawn);
    return drawn;
}

/** Draws some of all servers that were not tried yet. */
Candidates drawAny (const ServiceView& view, const std::vector<std::string>& tried, const UnitRandom& random)
{
    Candidates drawn;

    if (tried.empty())
    {
        drawSome (view.local, view.local.size(), random, drawn);
        drawSome (view.remote, view.remote.size(), random, drawn);
        return drawn;
    }

    const auto local = untried (view.local, tried);
    const auto remote = untried (view.remote, tried);
    drawSome (local, local.size(), random, drawn);
    drawSome (remote, remote.size(), random, drawn);
    return drawn;
}

double fillOf (const SelectionState& state, const membership::ServerRecord& server)
{
    const auto own = state.inFlight.find (server.instance);
    const unsigned inFlight = own == state.inFlight.end() ? 0 : own->second;
    const double busy = std::max (server.in_flight + server.queued, inFlight);
    return (busy + 1.0) / std::max (1U, server.limit);
}

/** Returns the present duration of work at the server as a multiple of the usual one. The latency that the
    gate reports is that at the usual speed. */
double presentSlowness (const SelectionState& state, TimePoint now, const KnownServer& known)
{
    if (! state.rules.usesPresentSpeed || known.server.slow_percent == kUsualSlowPercent)
        return 1;

    return speed::agedSlowness (known.server.slow_percent,
                                now - std::max (known.last_seen, known.speed_seen));
}

/** Whether to compare the server with alternatives: it is nearly full, fails often, works slowly now, or is
   in another zone although the local zone has further servers that may have free slots. */
bool needsAlternatives (const SelectionState& state, TimePoint now, const ServiceView& view,
                        const KnownServer& known)
{
    if (known.zone != state.ownZone && view.local.size() > view.preferred_local)
        return true;

    if (presentSlowness (state, now, known) >= highSlowness)
        return true;

    return fillOf (state, known.server) >= fullShare ||
           failureShare (state, now, known.server) >= highFailureShare;
}

} // namespace

void recordSent (SelectionState& state, const std::string& instance)
{
    ++state.inFlight[instance];
}

bool countsAsFailure (const AttemptResult& end)
{
    return end.wasAbandoned ? end.elapsed >= end.slowThreshold : end.serverFailed;
}

void recordEnded (SelectionState& state, TimePoint now, const std::string& instance, bool failed)
{
    const auto own = state.inFlight.find (instance);

    if (own != state.inFlight.end() && --own->second == 0)
        state.inFlight.erase (own);

    auto& failures = state.failures[instance];
    recordResult (failures, now, failed, failureSample);

    if (failures.share < negligibleShare)
        state.failures.erase (instance);
}

double lowestDeclinedShare (const ServiceView& view)
{
    double lowest = 1;

    for (const auto* list : { &view.local, &view.remote })
    {
        for (const auto* it : *list)
        {
            // Usually the first server declines nothing, and the cost doesn't grow with the fleet.
            if (it->server.declined_percent == 0)
                return 0;

            lowest = std::min (lowest, shareOfPercent * it->server.declined_percent);
        }
    }

    return view.empty() ? 0 : lowest;
}

const KnownServer* chooseAmong (const SelectionState& state, TimePoint now, const ServiceView& view,
                                const std::set<std::string>& instances)
{
    const double meanUs = failureScaleUs (view);
    const KnownServer* best = nullptr;
    double lowestCost = std::numeric_limits<double>::max();

    for (const auto* list : { &view.local, &view.remote })
    {
        for (const auto* it : *list)
        {
            if (! instances.contains (it->server.instance))
                continue;

            const double cost = expectedCost (state, now, *it, meanUs);

            if (best == nullptr || cost < lowestCost)
            {
                best = it;
                lowestCost = cost;
            }
        }
    }

    return best;
}

double expectedCost (const SelectionState& state, TimePoint now, const KnownServer& known, double meanUs)
{
    const auto& server = known.server;
    const double fill = fillOf (state, server);
    const double latency =
        (server.latency_us == 0 ? meanUs : server.latency_us) * presentSlowness (state, now, known);
    double cost = latency * (1.0 + loadWeight * fill * fill * fill);
    cost += failureWeight * meanUs * std::max (failureShare (state, now, server), 0.0);

    if (state.rules.prefersOwnZone && known.zone != state.ownZone)
        cost *= remoteZoneFactor;

    if (state.rules.avoidsCold && milliseconds (server.cold_ms) > now - known.last_seen)
        cost *= coldFactor;

    return cost;
}

std::vector<AvoidedServer> avoidedServers (const SelectionState& state, TimePoint now,
                                           const ServiceView& view, const KnownServer& chosen)
{
    std::vector<AvoidedServer> found;

    if (state.failures.empty())
        return found;

    const double meanUs = failureScaleUs (view);
    const double chosenCost = expectedCost (state, now, chosen, meanUs);

    for (const auto* list : { &view.local, &view.remote })
    {
        for (const auto* it : *list)
        {
            if (! state.failures.contains (it->server.instance))
                continue;

            const double cost = expectedCost (state, now, *it, meanUs);

            if (cost > chosenCost)
                found.push_back ({ it, failureShare (state, now, it->server), cost, chosenCost });
        }
    }

    return found;
}

const KnownServer* chooseServer (const SelectionState& state, TimePoint now, const ServiceView& view,
                                 const std::vector<std::string>& tried, const UnitRandom& random)
{
    const double meanUs = failureScaleUs (view);
    const KnownServer* best = nullptr;
    double lowestCost = std::numeric_limits<double>::max();
    const auto updateCheapest = [&] (const Candidates& drawn)
    {
        for (const auto* it : drawn)
        {
            const double cost = expectedCost (state, now, *it, meanUs);

            if (best != nullptr && cost >= lowestCost)
                continue;

            best = it;
            lowestCost = cost;
        }
    };

    if (tried.empty() && state.rules.usesPreferredServers)
        updateCheapest (drawPreferred (view, random));

    for (int n = 0; n < maxFallbackDraws && (best == nullptr || needsAlternatives (state, now, view, *best));
         ++n)
        updateCheapest (drawAny (view, tried, random));

    return best;
}

} // namespace anisehold::selection
