/** What is known of requests that were running at servers when these crashed.

    A request that crashes each server that begins it is distinguished from the many that were only there
    by what follows on each other: one run meets a crash, the same request runs again, knowing of that
    crash, and meets another. `numCrashes` is the length of that chain, the longest that any daemon knows.
    So servers that crash at the same moment, or of themselves, add one to each request and no more; and a
    request that any server ever answers is cleared. Daemons' ledgers agree by taking the greater count,
    in whatever order reports come.

    A caller's request is condemned for its own crashes, or when the same request crashed servers for two
    callers. What one caller's crashed makes a strong suspect of another's, and no more: the server may
    treat the two differently.

    Owns what this daemon knows (CrashLedger); sidecar/crash_exchange keeps it, and shares it with peers
    and the store. In a model of 14 daemons and 4 servers, 40 days each, a fatal request crashed 3.0
    servers in the mean and no other request failed; when nothing was remembered 19.2 and 0.643
    (docs/design/suspects.md). Pure.
*/
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "protocol/request_digest.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::suspects
{

/** Crashes in a row after which a request isn't sent to any server. Of 2 the second may still be chance: of
    two servers that crash of themselves within a second, a request can meet both. With 2 the model had 2.0
    crashes and condemned 70 harmless requests, with 3 3.0 and none. */
inline constexpr unsigned crashesToCondemn = 3;
/** From this many on a suspect runs alone among its like, so that the next crash has one cause. With no limit
    to how many run the model condemned 17 harmless requests. */
inline constexpr unsigned crashesToIsolate = 2;
/** Callers whose request crashed servers from which on it is the same for all callers. */
inline constexpr std::size_t callersToGeneralize = 2;
/** How long a suspect is remembered after its latest crash. One that isn't sent again costs its entry only.
    Chosen, not measured. */
inline constexpr seconds suspectLifetime{ 600 };
/** How long a caller's request counts as harmless after a server answered it, against late reports: those of
    a peer that was cut off for some seconds. Chosen, not measured. */
inline constexpr seconds clearedLifetime{ 30 };
/** How long a request is condemned at first. Then one trial is made, since a new version of the service may
    bear it; each trial that crashes a server makes the next time six times as long. Chosen, not measured. */
inline constexpr seconds firstCondemnation{ 600 };
inline constexpr int condemnationGrowth = 6;
/** A day: a service that is mended at all is mended by then, or an operator lifts the verdict. Chosen, not
    measured. */
inline constexpr seconds maxCondemnation{ 86'400 };
/** Most suspects of one daemon; a hundred may run at a server when it ends. Chosen, not measured. */
inline constexpr std::size_t maxSuspects = 4'096;
/** Most crashes that are counted: the time of a condemnation has long reached its greatest. */
inline constexpr unsigned maxCrashes = 32;

/** One suspect. */
struct Suspect
{
    unsigned numCrashes = 0;           /**< Of its chain. */
    TimePoint latest;                  /**< When the last of them was. */
    std::vector<CallerDigest> callers; /**< For whom it crashed servers; up to `callersToGeneralize`. */
};

/** What one daemon knows. */
struct CrashLedger
{
    std::unordered_map<RequestDigest, Suspect> suspects;
    std::unordered_map<RequestIdentity, TimePoint> cleared; /**< When a server answered them. */
};

/** How long a request with so many crashes is condemned; zero if it isn't. */
Duration condemnationTime (unsigned numCrashes);

/** Crashes that are known of the request; 0 for nearly all. Where they are another caller's alone, fewer than
    condemn it. */
unsigned crashesOf (const CrashLedger&, TimePoint now, const RequestIdentity&);

/** Whether the request must not be sent to a server. */
bool isCondemned (const CrashLedger&, TimePoint now, const RequestIdentity&);

/** Takes in a chain of crashes, the last of which was `age` ago, under requests of this caller. True if
    that was new. */
bool recordCrashes (CrashLedger&, TimePoint now, const RequestIdentity&, unsigned numCrashes,
                    Duration age = {});

/** A server has given the request a whole answer. True if it was a suspect. */
bool recordAnswered (CrashLedger&, TimePoint now, const RequestIdentity&);

/** A peer reports that a server answered the request, `age` ago. That may come before the report of the
    crash. True as above. */
bool recordCleared (CrashLedger&, TimePoint now, const RequestIdentity&, Duration age);

/** Forgets a request for all callers; true if anything was known of it. */
bool clearRequest (CrashLedger&, TimePoint now, const RequestDigest&);

/** Forgets what is too old. */
void expire (CrashLedger&, TimePoint now);

/** One request that ran at a server when that crashed. */
struct CrashedRun
{
    RequestIdentity request;
    unsigned crashesBefore = 0; /**< That were known when it began. */
};

/** Whose chain a crash makes longer. All that ran there are suspects, but where one ran that had met two
    crashes before, and so ran alone among its like, it is taken for the cause and the others for
    bystanders. */
std::vector<CrashedRun> likelyCauses (const std::vector<CrashedRun>&);

} // namespace anisehold::suspects
