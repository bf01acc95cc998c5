/** Decides whether a request that begins during a planned stop can be completed before the process ends.

    A request that is cut when the process ends may have run at its server, and its caller isn't told. A
   request that is refused has not run, and its caller can send it again. So a request begins only if it is
   expected to be completed in the time left. The expectation is the longest time that a request of the same
   row took recently; an average would say nothing about the slowest requests, which are the ones that are
   cut. If nothing is known of the row, the request may take until its own deadline.

    Refusing all requests that could reach their deadline after the end of the process would refuse nearly all
    of them: deadlines are usually many times longer than the requests take.

    Owns CompletionTimes, of which a daemon has one for each place where requests begin. At most `maxRows`
   rows are kept. Relies on the time types only. Plain state and free functions. Pure.
*/
#pragma once

#include <map>
#include <optional>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::stopping
{

/** Times in a planned stop that matter to callers. */
struct StopTimes
{
    TimePoint callersSwitched; /**< By then, callers with a choice send to other daemons. */
    TimePoint processEnds;     /**< Requests that are still in flight then are cut. */
};

/** The requests of one row that were completed in a window of `windowLength`. */
struct CompletedRequests
{
    Duration longest{};
    unsigned count = 0;
};

/** Times that the completed requests of one row took, in the current window and the one before. */
struct RowTimes
{
    CompletedRequests current;
    CompletedRequests before;
    TimePoint windowBegan;
};

/** Times of all rows, by the row's name. */
struct CompletionTimes
{
    std::map<std::string, RowTimes> rows;
};

/** Records that a request of `row` was completed after `elapsed`. */
void recordCompleted (CompletionTimes&, TimePoint now, const std::string& row, Duration elapsed);

/** Returns the time within which a request of `row` is expected to be completed; nothing if no request of the
    row has been completed recently. */
std::optional<Duration> expectedTime (const CompletionTimes&, TimePoint now, const std::string& row);

/** A request that is about to begin. */
struct BeginningRequest
{
    std::string row;
    TimePoint deadline; /**< The request is answered by then, with a failure if need be. */
};

/** Returns whether a request that begins at `now` is expected to be answered before the process ends. */
bool canComplete (const CompletionTimes&, TimePoint now, const BeginningRequest&, const StopTimes&);

/** Returns the time after which a request that is refused at `now` has a chance elsewhere: when its caller
   has switched to another daemon, or, for callers without a choice, when this process may have been replaced.
 */
Duration retryDelay (TimePoint now, const StopTimes&);

/** Times are kept for one to two windows. */
inline constexpr seconds windowLength{ 60 };

/** Time between the completion of a request here and the arrival of the response at its caller. */
inline constexpr milliseconds responseMargin{ 100 };

/** Minimum of `retryDelay`. */
inline constexpr milliseconds minRetryDelay{ 50 };

inline constexpr std::size_t maxRows = 256;

} // namespace anisehold::stopping
