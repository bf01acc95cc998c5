/** How much work the requests of each row make, as the daemon beside a server sees it.

    The calls that a server makes carry nothing of the request that they are made for. But the daemon knows
    which requests run at its server when a call comes: the call is shared among them by how often requests of
    their rows have made such calls before, which settles on the true numbers where the rows don't always run
    together (expectation maximisation, one step a call). The time that a row's requests take of the server's
    slots follows from how many ran and how many ended (Little's law). Older observations count less.

    Measured with simulated calls of 8 seeds: two rows with nearly the same rate of calls are told apart to
    within two fifths, their sum is right to a twentieth (work_estimate_test).

    Plain state and free functions over it; relies on knownRowWork for what called rows bring. Pure.
*/
#pragma once

#include <map>
#include <string>
#include <vector>

#include "overload/root_limit_state.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** What was seen of one row's requests at the server. */
struct RowRuns
{
    unsigned inFlight = 0;
    double slotS = 0;                    /**< Time of slots that they took, in seconds. */
    double ended = 0;                    /**< Number of requests. */
    std::map<std::string, double> calls; /**< Calls made for them, by the called row. */
};

/** All rows that run at the server beside this daemon. */
struct WorkEstimate
{
    std::map<std::string, RowRuns> rows;
    TimePoint updated;
};

/** The server began to run a request of `row`. */
void recordRunStarted (WorkEstimate&, TimePoint now, const std::string& row);

/** The server ended a request of `row`, well or not. */
void recordRunEnded (WorkEstimate&, TimePoint now, const std::string& row);

/** The server made a call of row `called`. */
void recordCallMade (WorkEstimate&, TimePoint now, const std::string& called);

/** Calls of row `called` made for one request of `row`; 0 if nothing is known. */
double callsPerRun (const WorkEstimate&, const std::string& row, const std::string& called);

/** Time of slots that one request of `row` takes, in ms; 0 if nothing is known. */
double slotMsPerRun (const WorkEstimate&, const std::string& row);

/** Work that one request of each row brings to `service`: its own time if it runs there, and that of the
    calls made for it, as far as what those bring is known. At most `maxReportedRows` rows. */
std::vector<RowWork> estimateRowWork (const WorkEstimate&, const RootLimitState&,
                                      const std::string& ownService, const std::string& service);

/** Most rows reported of a service in one record, which must fit into a datagram. Chosen, not measured. */
inline constexpr std::size_t maxReportedRows = 16;

} // namespace anisehold::overload
