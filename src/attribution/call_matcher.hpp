/** Finds the request that a call of the local server is made for.

    Addresses chains in which a last service is short of capacity (a stock check calls a roster, a ledger and
    then four times the pricing service): calls carry nothing about their parent, so that a gate can't tell
    which root they belong to nor how close it is to completion. But a server gives its calls the remaining
    time of their parent. The daemon knows the deadline that it told the server for each run, and the deadline
    that each call brings, on one clock. They differ by the ways between daemon and server and by rounding to
    whole milliseconds, about 1 ms in all.

    The matcher learns the mean and the deviation of this difference (expectation maximization, one step per
    call), and weighs the runs by their likelihood, against the hypothesis that the call has a deadline of its
    own. A time left that many calls of a row state exactly is probably a timeout of the server's own, unless
    such calls are found to end with a run each time; the share of own deadlines is learned separately for
    them. A parent row or a root is known when at least `minProbability` of the weight agrees on it; so
   runs of one root needn't be told apart.

    Owns RunsAtServer. Relies on its caller to record the start and the end of each run and call. State: at
    most `maxRuns` runs, about 200 bytes each, and `maxCalledRows` rows of calls, about 350 bytes each; no
    messages. A call costs one pass over the runs. Pure.
*/
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "protocol/time_types.hpp"

namespace anisehold::attribution
{

/** The client's request that a call is made for, directly or through other calls. */
struct Root
{
    std::string row;       /**< Empty if it could not be written in a header. */
    unsigned priority = 0; /**< Rank; 0 is the most important. */

    bool operator== (const Root&) const = default;
};

/** A request that runs at the local server. */
struct ServerRun
{
    TimePoint deadline;         /**< As told to the server: time of sending + the time told. */
    std::string row;            /**< Row of the run itself. */
    std::optional<Root> root{}; /**< Empty if unknown. */
    unsigned callsMade = 0;     /**< Calls that were matched to the run. */
    unsigned callsInFlight = 0; /**< Calls among `callsMade` that have not ended. */
};

/** Times left of the latest calls of a row, the oldest overwritten first. */
struct RecentTimesLeft
{
    std::array<milliseconds, 32> values{};
    std::size_t next = 0;
};

/** The runs at the local server, and what is known of the deadlines of their calls. */
struct RunsAtServer
{
    std::unordered_map<std::uint64_t, ServerRun> runs; /**< By id. */
    /** Difference of a call's deadline to that of its run, in ms: mean and variance. The initial variance
        is large, so that the first calls are matched only where there is no doubt. */
    double meanOffsetMs = 1;
    double offsetVariance = 6;
    /** Shares of the calls near the deadline of a run that have a deadline of their own: of all calls, and of
        those with a time left that is frequent in their row. */
    double ownDeadlineShare = 0.1;
    double ownFrequentShare = 0.5;
    std::unordered_map<std::string, RecentTimesLeft> timesLeft; /**< By row of the calls. */
};

/** A call of the local server as it arrives at the daemon. */
struct CallArrival
{
    TimePoint received;
    milliseconds timeLeft{ 0 }; /**< As stated by the server. */
    std::string row;            /**< Row of the call. */
};

/** What is known of the origin of a request. */
struct CallOrigin
{
    std::optional<std::uint64_t> run{}; /**< The most likely parent, if its row or root is known. */
    std::string parentRow;              /**< Row of the parent; empty if unknown. */
    std::optional<Root> root{};         /**< Empty if unknown. */
    unsigned made = 0;                  /**< Calls that the parent has made before this one. */
};

/** Records that a request was sent to the server. Beyond `maxRuns` runs it isn't recorded. */
void recordRunBegan (RunsAtServer&, std::uint64_t id, ServerRun run);

/** Records that a run has ended. */
void recordRunEnded (RunsAtServer&, std::uint64_t id);

/** Finds the origin of a call, and records the call at its parent. */
CallOrigin matchCall (RunsAtServer&, const CallArrival&);

/** Records that a matched call has ended, successfully or not. */
void recordCallEnded (RunsAtServer&, const CallOrigin&);

/** Maximum number of recorded runs; servers have up to about 100 slots. */
inline constexpr std::size_t maxRuns = 512;

/** Maximum number of rows of calls for which the times left are kept; others' own timeouts aren't noticed. */
inline constexpr std::size_t maxCalledRows = 64;

/** Probability from which a parent row or a root counts as known. A wrong match must be rarer than one in ten
   of the matched: at a simulated server of 60 slots with a jitter of 5 ms 0.053 are wrong. */
inline constexpr double minProbability = 0.75;

} // namespace anisehold::attribution
