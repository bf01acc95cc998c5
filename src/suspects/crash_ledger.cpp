#include "suspects/crash_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace anisehold::suspects
{
namespace
{

/** Frees an entry for another suspect: removes the oldest of those with the fewest crashes. */
void evictWeakest (CrashLedger& ledger)
{
    const auto weakest = std::min_element (ledger.suspects.begin(), ledger.suspects.end(),
                                           [] (const auto& left, const auto& right)
                                           {
                                               const auto& a = left.second;
                                               const auto& b = right.second;
                                               return a.numCrashes != b.numCrashes
                                                          ? a.numCrashes < b.numCrashes
                                                          : a.latest < b.latest;
                                           });
    ledger.suspects.erase (weakest);
}

bool hasCaller (const Suspect& suspect, CallerDigest caller)
{
    return std::find (suspect.callers.begin(), suspect.callers.end(), caller) != suspect.callers.end();
}

/** Whether the suspect's crashes also count for this caller's request. */
bool appliesTo (const Suspect& suspect, CallerDigest caller)
{
    return suspect.callers.size() >= callersToGeneralize || hasCaller (suspect, caller);
}

bool isHarmless (const CrashLedger& ledger, TimePoint now, const RequestIdentity& request)
{
    const auto it = ledger.cleared.find (request);
    return it != ledger.cleared.end() && now - it->second < clearedLifetime;
}

} // namespace

Duration condemnationTime (unsigned numCrashes)
{
    if (numCrashes < crashesToCondemn)
        return Duration::zero();

    seconds time = firstCondemnation;

    for (unsigned n = crashesToCondemn; n < numCrashes && time < maxCondemnation; ++n)
        time *= condemnationGrowth;

    return std::min (time, maxCondemnation);
}

unsigned crashesOf (const CrashLedger& ledger, TimePoint now, const RequestIdentity& request)
{
    const auto it = ledger.suspects.find (request.digest);

    if (it == ledger.suspects.end() || isHarmless (ledger, now, request))
        return 0;

    const auto& suspect = it->second;
    return appliesTo (suspect, request.caller) ? suspect.numCrashes
                                               : std::min (suspect.numCrashes, crashesToCondemn - 1);
}

bool isCondemned (const CrashLedger& ledger, TimePoint now, const RequestIdentity& request)
{
    const auto it = ledger.suspects.find (request.digest);
    return it != ledger.suspects.end() &&
           now - it->second.latest < condemnationTime (crashesOf (ledger, now, request));
}

bool recordCrashes (CrashLedger& ledger, TimePoint now, const RequestIdentity& request, unsigned numCrashes,
                    Duration age)
{
    if (numCrashes == 0 || isHarmless (ledger, now, request))
        return false;

    const bool isKnown = ledger.suspects.contains (request.digest);

    if (! isKnown && ledger.suspects.size() >= maxSuspects)
        evictWeakest (ledger);

    auto& suspect = ledger.suspects[request.digest];
    const bool isLonger = numCrashes > suspect.numCrashes;
    const bool isNewCaller = ! appliesTo (suspect, request.caller);

    if (isLonger)
    {
        suspect.numCrashes = std::min (numCrashes, maxCrashes);
        suspect.latest = now - age;
    }

    if (isNewCaller)
        suspect.callers.push_back (request.caller);

    return isLonger || isNewCaller;
}

bool recordAnswered (CrashLedger& ledger, TimePoint now, const RequestIdentity& request)
{
    return ledger.suspects.contains (request.digest) && ! isHarmless (ledger, now, request) &&
           recordCleared (ledger, now, request, Duration::zero());
}

bool recordCleared (CrashLedger& ledger, TimePoint now, const RequestIdentity& request, Duration age)
{
    const bool fits = ledger.cleared.contains (request) || ledger.cleared.size() < maxSuspects;

    if (age >= clearedLifetime || ! fits)
        return false;

    auto& answered = ledger.cleared[request];
    answered = std::max (answered, now - age);
    const auto suspect = ledger.suspects.find (request.digest);

    if (suspect == ledger.suspects.end())
        return false;

    // Crashes under another caller's requests remain recorded.
    if (appliesTo (suspect->second, request.caller))
        ledger.suspects.erase (suspect);

    return true;
}

bool clearRequest (CrashLedger& ledger, TimePoint now, const RequestDigest& digest)
{
    const auto suspect = ledger.suspects.find (digest);

    if (suspect == ledger.suspects.end())
        return false;

    for (const auto& it : suspect->second.callers)
        ledger.cleared[{ digest, it }] = now;

    ledger.suspects.erase (suspect);
    return true;
}

void expire (CrashLedger& ledger, TimePoint now)
{
    std::erase_if (ledger.suspects,
                   [&] (const auto& entry)
                   {
                       const auto& it = entry.second;
                       return now - it.latest > condemnationTime (it.numCrashes) + suspectLifetime;
                   });
    std::erase_if (ledger.cleared, [&] (const auto& entry) { return now - entry.second > clearedLifetime; });
}

std::vector<CrashedRun> likelyCauses (const std::vector<CrashedRun>& runs)
{
    unsigned maxCount = 0;

    for (const auto& it : runs)
        maxCount = std::max (maxCount, it.crashesBefore);

    if (maxCount < crashesToIsolate)
        return runs;

    std::vector<CrashedRun> strongest;
    std::copy_if (runs.begin(), runs.end(), std::back_inserter (strongest),
                  [&] (const CrashedRun& it) { return it.crashesBefore == maxCount; });
    return strongest;
}

} // namespace anisehold::suspects
