/** How many suspects run at one server at the same time.

    What a suspect crashes takes all that runs there along, and makes suspects of it. Few at a time keep the
    number of suspects small that a second crash leaves; one at a time of those that met two crashes
    singles out the cause. Owned by the gate (sidecar/suspect_queue). Pure.
*/
#pragma once

#include <algorithm>

#include "suspects/crash_ledger.hpp"

namespace anisehold::suspects
{

/** Suspects of one crash that run at one server at once. The more, the more are left after a second crash;
    the fewer, the longer the harmless ones wait: at a crash with 30 running, three servers left and 90 ms of
    work, 4 make the last one wait 0.2 s, 1 makes it wait 0.8 s, worked out. */
inline constexpr unsigned maxWeakSuspects = 4;

/** What runs now. */
struct SuspectSlots
{
    unsigned numWeak = 0;
    unsigned numStrong = 0; /**< Those that met two crashes or more. */
};

/** Whether a suspect with so many crashes may begin. */
inline bool mayBegin (const SuspectSlots& slots, unsigned numCrashes)
{
    return numCrashes >= crashesToIsolate ? slots.numStrong == 0 : slots.numWeak < maxWeakSuspects;
}

inline void recordStart (SuspectSlots& slots, unsigned numCrashes)
{
    ++(numCrashes >= crashesToIsolate ? slots.numStrong : slots.numWeak);
}

/** `numCrashes` as it was when the suspect began. */
inline void recordEnd (SuspectSlots& slots, unsigned numCrashes)
{
    auto& count = numCrashes >= crashesToIsolate ? slots.numStrong : slots.numWeak;
    count -= std::min (count, 1U);
}

} // namespace anisehold::suspects
