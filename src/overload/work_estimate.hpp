/** Estimates the work that requests of each row generate, as observed by the daemon next to a server.

    The calls that a server makes don't identify the request that they are made for, but the daemon knows
    which requests run at its server when a call arrives. The parent of most calls is known by their deadline
    (attribution/call_matcher, where it is enabled). Each other call is divided among these requests by how
    often requests of their rows made such calls before; the estimate converges to the true numbers if the
    rows don't always run together (expectation maximization, one step per call). The slot time per request of
    a row follows from the number running and the number finished (Little's law). Observations decay
    exponentially.

    With simulated calls of 8 seeds, two rows with nearly the same call rate are distinguished to within two
    fifths, and their sum is accurate to a twentieth (work_estimate_test).

    Owns WorkEstimate; relies on knownRowWork for the work of called rows. Plain state and free functions.
    Pure.
*/
#pragma once

#include <map>
#include <string>
#include <vector>

#include "overload/root_limit_state.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** Observations of one row's requests at the server. */
struct RowRuns
{
    unsigned inFlight = 0;
    double slotS = 0;                    /**< Slot time used, in seconds. */
    double ended = 0;                    /**< Number of finished requests. */
    std::map<std::string, double> calls; /**< Calls made for the requests, by called row. */
};

/** Observations of all rows that run at the local server. */
struct WorkEstimate
{
    std::map<std::string, RowRuns> rows;
    TimePoint updated;
    double slowness = 1; /**< Present duration of work at the server as a multiple of the usual one. Slot time
                              counts at the usual speed, since the capacity of a slow server is less. */
};

/** Records that the server started a request of `row`. */
void recordRunStarted (WorkEstimate&, TimePoint now, const std::string& row);

/** Records that the server finished a request of `row`, successfully or not. */
void recordRunEnded (WorkEstimate&, TimePoint now, const std::string& row);

/** Records that the server declined a request of `row` that had been recorded as started. */
void recordRunDeclined (WorkEstimate&, TimePoint now, const std::string& row);

/** Records that the server made a call of row `called`. `parent` is the row of the request that it was made
    for, or empty if that isn't known; the call is then divided among the rows that run. */
void recordCallMade (WorkEstimate&, TimePoint now, const std::string& called, const std::string& parent = {});

/** Returns the number of calls of row `called` per request of `row`; 0 if unknown. */
double callsPerRun (const WorkEstimate&, const std::string& row, const std::string& called);

/** Returns the slot time per request of `row`, in ms; 0 if unknown. */
double slotMsPerRun (const WorkEstimate&, const std::string& row);

/** Returns the work that one request of each row brings to `service`: its own slot time if the row runs
    there, and the known work of the calls made for it. At most `maxReportedRows` rows. */
std::vector<RowWork> estimateRowWork (const WorkEstimate&, const RootLimitState&,
                                      const std::string& ownService, const std::string& service);

/** Maximum number of rows reported per service in one record, which must fit into a datagram. */
inline constexpr std::size_t maxReportedRows = 16;

} // namespace anisehold::overload
