/** Records requests that were running at servers when these crashed, to find the requests that cause crashes.

    A request that crashes every server that begins it differs from bystanders by its chain of crashes: one
    run meets a crash, the same request runs again, carrying the count of that crash, and meets another.
    `numCrashes` is the length of the longest such chain that any daemon knows. Servers that crash at the same
    moment, or for reasons of their own, therefore add at most one to each request, and a request that any
    server answers is cleared. Daemons' ledgers converge by taking the greater count, in whatever order
    reports arrive.

    A caller's request is condemned for crashes under this caller, or when the same request crashed servers
    for two callers. Crashes under one caller make the same request of another caller a strong suspect at
    most, since the server may treat the two callers differently.

    Owns this daemon's knowledge (CrashLedger); sidecar/crash_exchange keeps the ledger and shares it with
    peers and the store. In a model of 14 daemons and 4 servers, over 40 days each, a fatal request crashed
    3.0 servers on average and no other request failed; without a ledger the figures were 19.2 and 0.643
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

/** Length of the chain from which a request is not sent to any server. With 2, the second crash may be
    chance: if two servers crash by themselves within a second, a request can meet both. With 2 the model had
    2.0 crashes and condemned 70 harmless requests; with 3 it had 3.0 crashes and condemned none. */
inline constexpr unsigned crashesToCondemn = 3;
/** Number of crashes from which a suspect is a strong suspect: only one runs at a server at a time, so that
    the next crash has a single cause. Without that limit the model condemned 17 harmless requests. */
inline constexpr unsigned crashesToIsolate = 2;
/** Number of callers whose request crashed servers from which the crashes count for all callers. */
inline constexpr std::size_t callersToGeneralize = 2;
/** Retention of a suspect after its latest crash and condemnation. A suspect that is not sent again costs
    only its entry. */
inline constexpr seconds suspectLifetime{ 600 };
/** How long a caller's request counts as harmless after a server answered it. Protects against late reports
    from a peer that was disconnected for some seconds. */
inline constexpr seconds clearedLifetime{ 30 };
/** Duration of the first condemnation. When it ends, one trial run is allowed, since a new version of the
    service may handle the request; each trial that crashes a server multiplies the next duration by
    `condemnationGrowth`. */
inline constexpr seconds firstCondemnation{ 600 };
inline constexpr int condemnationGrowth = 6;
/** One day: within that time the service is normally repaired, or an operator lifts the verdict. */
inline constexpr seconds maxCondemnation{ 86'400 };
/** Maximum number of suspects in one daemon's ledger; a hundred requests may be running at a server when it
    crashes. */
inline constexpr std::size_t maxSuspects = 4'096;
/** Upper limit of the crash count; the condemnation time reaches its maximum long before. */
inline constexpr unsigned maxCrashes = 32;

/** A request that was running at servers when they crashed. */
struct Suspect
{
    unsigned numCrashes = 0; /**< Length of the longest known chain. */
    TimePoint latest;        /**< Time of the latest crash. */
    std::vector<CallerDigest>
        callers; /**< Callers under whose requests servers crashed; at most `callersToGeneralize`. */
};

/** The suspects and cleared requests that one daemon knows. */
struct CrashLedger
{
    std::unordered_map<RequestDigest, Suspect> suspects;
    std::unordered_map<RequestIdentity, TimePoint>
        cleared; /**< Time at which a server answered the request. */
};

/** Returns how long a request with this number of crashes is condemned; zero if it is not. */
Duration condemnationTime (unsigned numCrashes);

/** Returns the known number of crashes of the request; 0 for nearly all requests. Crashes under other callers
    alone count as fewer than a condemnation needs. */
unsigned crashesOf (const CrashLedger&, TimePoint now, const RequestIdentity&);

/** Whether the request must not be sent to a server. */
bool isCondemned (const CrashLedger&, TimePoint now, const RequestIdentity&);

/** Records a chain of crashes under this caller's requests, the latest of which was `age` ago. Returns true
    if the ledger changed. */
bool recordCrashes (CrashLedger&, TimePoint now, const RequestIdentity&, unsigned numCrashes,
                    Duration age = {});

/** Records a server's complete response to the request. Returns true if the request was a suspect. */
bool recordAnswered (CrashLedger&, TimePoint now, const RequestIdentity&);

/** Records a peer's report that a server answered the request `age` ago; the report may arrive before the
    report of the crash. Returns true if the request was a suspect. */
bool recordCleared (CrashLedger&, TimePoint now, const RequestIdentity&, Duration age);

/** Clears a request for all callers; returns true if the request was a suspect. */
bool clearRequest (CrashLedger&, TimePoint now, const RequestDigest&);

/** Removes expired suspects and cleared requests. */
void expire (CrashLedger&, TimePoint now);

/** A request that was running at a server when the server crashed. */
struct CrashedRun
{
    RequestIdentity request;
    unsigned crashesBefore = 0; /**< Number of crashes that were known when the run began. */
};

/** Returns the runs whose chain a crash extends. Normally all runs at the server become suspects. If a strong
    suspect was running, which runs alone among strong suspects, it is taken as the cause and the others as
    bystanders. */
std::vector<CrashedRun> likelyCauses (const std::vector<CrashedRun>&);

} // namespace anisehold::suspects
