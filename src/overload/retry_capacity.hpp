/** Admits client requests as far as the retries of a declining service carry them to completion.

    Addresses servers that decline 0.55 of their arrivals, whatever their load, for 8.5 s. A request that
   makes c calls at the service needs c * p / (1 - p) retries at a declined share of p: a quote 1.2, a booking
   of eight calls 9.8. The service may get only 0.2 retries per arrival, so while chains of calls are admitted
    without regard to it, most break off after work was done for them: 2,100 to 3,200 of 5,000 requests in two
    seconds.

    The retry budget is a second limit besides the service's capacity. Each daemon divides the retries that
   its own requests earn at the gates among its own rows: requests by priority, calls by row from the work
    estimates. Owns RetryCapacityState. Relies on the shares that gates report in results and records. Pure.
*/
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "overload/root_limit_state.hpp"

namespace anisehold::overload
{

/** Records what the gate of a server reports. */
void recordServerDecline (RootLimitState&, const std::string& service, const std::string& instance,
                          const ServerDecline&);

/** Records that a client's request of the row was admitted here. */
void recordAdmittedRoot (RootLimitState&, TimePoint now, const std::string& row);

/** Returns the mean share of arrivals that the service's servers decline; 0 if none of them does. */
double declinedShare (const RootLimitState&, TimePoint now, const std::string& service);

/** Whether a service is believed to decline a share of its arrivals. */
bool isDeclining (const RootLimitState&, const std::string& service);

/** Updates the admitted shares of all rows; does nothing if that was done a few milliseconds ago. */
void updateRetryShares (RootLimitState&, TimePoint now);

/** Returns the share of the row's requests, from 0 to 1, that the last update admits. */
double retryLimitedShare (const RootLimitState&, const std::string& row);

/** A service that began or ceased to decline, or declines a clearly different share. */
struct RetryLimitChange
{
    std::string service;
    double declined = 0;
    double retriesPerS = 0;                  /**< Retries that this daemon's requests earn. */
    std::map<std::string, double> rowShares; /**< Admitted share of each row that is limited. */
};

/** Returns the changes since the last call, and forgets services that no longer decline. */
std::vector<RetryLimitChange> takeRetryLimitChanges (RootLimitState&, TimePoint now);

/** Declined share up to which a service's retries limit no requests. */
inline constexpr double minDeclinedShare = 0.1;

/** Maximum number of rows whose admitted requests are counted. */
inline constexpr std::size_t maxCountedRows = 64;

} // namespace anisehold::overload
