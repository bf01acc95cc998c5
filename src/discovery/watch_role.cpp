#include "discovery/watch_role.hpp"

#include <algorithm>

#include "routing/rendezvous.hpp"

namespace anisehold::discovery
{
namespace
{

/** Key of the ranking; all daemons of a fleet must use the same one. */
constexpr const char* rankingKey = "configuration-watch";
/** Minimum time without a working watch before a daemon stands in; an interrupted watch is usually
    reopened sooner. */
constexpr milliseconds minStandInDelay{ 2'000 };
/** Spread of the delays per known peer: a fleet makes at most 25 such attempts per second. */
constexpr milliseconds spreadPerPeer{ 40 };
/** Maximum spread: a fleet of any size finds a stand-in within this time. */
constexpr milliseconds maxSpread{ 10'000 };

Duration drawStandInDelay (std::size_t knownPeers, const UnitRandom& random)
{
    const auto byFleet = spreadPerPeer * static_cast<long long> (knownPeers);
    const std::chrono::duration<double> spread = std::min<Duration> (byFleet, maxSpread);
    return minStandInDelay + std::chrono::duration_cast<Duration> (spread * random());
}

} // namespace

std::string_view roleName (WatchRole role)
{
    switch (role)
    {
        case WatchRole::appointed:
            return "appointed";
        case WatchRole::standIn:
            return "stand-in";
        case WatchRole::none:
            break;
    }

    return "none";
}

bool isAppointed (const std::string& ownName, const std::vector<std::string>& zonePeers)
{
    const auto own = routing::rendezvous_score (ownName, rankingKey);
    const auto ahead = std::count_if (zonePeers.begin(), zonePeers.end(),
                                      [&] (const std::string& it)
                                      {
                                          const auto score = routing::rendezvous_score (it, rankingKey);
                                          return score > own || (score == own && it < ownName);
                                      });
    return static_cast<std::size_t> (ahead) < watchersPerZone;
}

WatchRole updateRole (WatchState& state, TimePoint now, const WatchView& view, const UnitRandom& random)
{
    if (view.hasPeerWatch || state.standInDelay == Duration::zero())
    {
        state.lastPeerWatch = now;
        state.standInDelay = drawStandInDelay (view.knownPeers, random);
    }

    if (isAppointed (view.ownName, view.zonePeers))
        state.role = WatchRole::appointed;
    else if (! view.hasPeerWatch && now - state.lastPeerWatch >= state.standInDelay)
        state.role = WatchRole::standIn;
    else
        state.role = WatchRole::none;

    return state.role;
}

void recordFailedAttempt (WatchState& state, TimePoint now)
{
    state.lastPeerWatch = now;
    state.standInDelay = Duration::zero();
}

} // namespace anisehold::discovery
