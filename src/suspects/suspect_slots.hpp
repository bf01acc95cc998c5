/** Limits the number of suspects that run at one server at the same time.

    A suspect that crashes the server turns all requests running there into suspects. Limiting weak suspects
    keeps the number of suspects after a second crash small; limiting strong suspects to one identifies the
    cause. Owned by the gate (sidecar/suspect_queue). Pure.
*/
#pragma once

#include <algorithm>

#include "suspects/crash_ledger.hpp"

namespace anisehold::suspects
{

/** Maximum number of suspects with one crash that run at one server. A larger limit leaves more suspects
    after a second crash; a smaller limit makes harmless requests wait longer: after a crash with 30 requests
    running, with three servers left and 90 ms of work each, the last one waits 0.2 s with a limit of 4 and
    0.8 s with a limit of 1. */
inline constexpr unsigned maxWeakSuspects = 4;

/** Suspects that are running. */
struct SuspectSlots
{
    unsigned numWeak = 0;
    unsigned numStrong = 0; /**< Suspects with two crashes or more. */
};

/** Whether a suspect with this number of crashes may start. */
inline bool mayBegin (const SuspectSlots& slots, unsigned numCrashes)
{
    return numCrashes >= crashesToIsolate ? slots.numStrong == 0 : slots.numWeak < maxWeakSuspects;
}

inline void recordStart (SuspectSlots& slots, unsigned numCrashes)
{
    ++(numCrashes >= crashesToIsolate ? slots.numStrong : slots.numWeak);
}

/** `numCrashes`: the value at the suspect's start. */
inline void recordEnd (SuspectSlots& slots, unsigned numCrashes)
{
    auto& count = numCrashes >= crashesToIsolate ? slots.numStrong : slots.numWeak;
    count -= std::min (count, 1U);
}

} // namespace anisehold::suspects
