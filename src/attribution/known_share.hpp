/** Tracks whether the parents of most of the local server's calls are known, for operators. Pure. */
#pragma once

#include <optional>

#include "protocol/half_life.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::attribution
{

/** Decayed numbers of the local server's calls. */
struct KnownShare
{
    double calls = 0;
    double known = 0;
    TimePoint updated;
    std::optional<bool> areMostKnown; /**< Empty until enough calls were made. */
};

/** Half-life of a call, in seconds. */
inline constexpr double knownHalfLifeS = 10;
/** Decayed number of calls from which the share is judged. */
inline constexpr double minJudgedCalls = 50;
/** Shares at which the verdict changes. The difference keeps a share near one half from changing it often. */
inline constexpr double mostKnownFrom = 0.6;
inline constexpr double fewKnownBelow = 0.4;

/** Returns the share of calls whose parent is known, from 0 to 1. */
inline double knownShareOf (const KnownShare& state)
{
    return state.calls > 0 ? state.known / state.calls : 0;
}

/** Records a call; returns whether the verdict has changed or was reached for the first time. */
inline bool recordCall (KnownShare& state, TimePoint now, bool isKnown)
{
    const double kept = kept_part (now - state.updated, knownHalfLifeS);
    state.calls = state.calls * kept + 1;
    state.known = state.known * kept + (isKnown ? 1 : 0);
    state.updated = now;

    if (state.calls < minJudgedCalls)
        return false;

    const double threshold = state.areMostKnown == true ? fewKnownBelow : mostKnownFrom;
    const bool areMostKnown = knownShareOf (state) >= threshold;
    const bool hasChanged = state.areMostKnown != areMostKnown;
    state.areMostKnown = areMostKnown;
    return hasChanged;
}

} // namespace anisehold::attribution
