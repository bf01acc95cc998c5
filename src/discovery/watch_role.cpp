#include "discovery/watch_role.hpp"

#include <algorithm>

#include "routing/rendezvous.hpp"

namespace anisehold::discovery
{
namespace
{

/** Any constant will do, as long as all daemons of a fleet use the same one. */
constexpr const char* rankingKey = "configuration-watch";
/** Least time without a working watch before a daemon stands in: a watch that was cut is open again sooner.
    Chosen, not measured. */
constexpr milliseconds leastPatience{ 2'000 };
/** Share of the spread per known peer: the fleet makes at most 25 such attempts a second.
    Chosen, not measured. */
constexpr milliseconds spreadPerPeer{ 40 };
/** A fleet of any size finds a stand-in within this time. Chosen, not measured. */
constexpr milliseconds longestSpread{ 10'000 };

Duration drawPatience (std::size_t knownPeers, const UnitRandom& random)
{
    const auto byFleet = spreadPerPeer * static_cast<long long> (knownPeers);
    const std::chrono::duration<double> spread = std::min<Duration> (byFleet, longestSpread);
    return leastPatience + std::chrono::duration_cast<Duration> (spread * random());
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

WatchRole reviewRole (WatchState& state, TimePoint now, const WatchView& view, const UnitRandom& random)
{
    if (view.peerWatches || state.patience == Duration::zero())
    {
        state.lastPeerWatch = now;
        state.patience = drawPatience (view.knownPeers, random);
    }

    if (isAppointed (view.ownName, view.zonePeers))
        state.role = WatchRole::appointed;
    else if (! view.peerWatches && now - state.lastPeerWatch >= state.patience)
        state.role = WatchRole::standIn;
    else
        state.role = WatchRole::none;

    return state.role;
}

void noteFailedTry (WatchState& state, TimePoint now)
{
    state.lastPeerWatch = now;
    state.patience = Duration::zero();
}

} // namespace anisehold::discovery
