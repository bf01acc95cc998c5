/** Tracks the request volume of each row, and which services its requests reach, at any depth.

    The calls that a server makes don't identify the request that they are made for. So a row counts as
    reaching a service when the service refuses a request of the row, or when enough of the row's requests
    fail at servers whose calls the service refused in the meantime. Owns `rows` and `evidence` of
    ServiceState and `rows` of RootLimitState. Pure.
*/
#pragma once

#include "overload/root_limit_state.hpp"

namespace anisehold::overload
{

/** Records a client's request, whether or not it is admitted. */
void recordOffered (RootLimitState&, TimePoint now, const RootRow&);

/** Returns the requests of the row offered recently, decayed with a half-life of `volumeHalfLifeS`. */
double offeredVolume (const RowVolume&, TimePoint now);

/** Returns the recent request rate of the row, per second. */
double offeredPerSecond (const RowVolume&);

/** Records that `service` itself had no capacity for a request of `row`, so that the row reaches the
    service. */
void recordReach (RootLimitState&, const std::string& row, const std::string& service);

/** Records a failure of a request of `row` at a server on a machine whose calls `service` refused in the
    meantime. The server may have failed for another reason, so the row counts as reaching the service only
    if a sufficient part of its requests fails in this way. */
void recordDownstreamFailure (RootLimitState&, TimePoint now, const std::string& row,
                              const std::string& service);

} // namespace anisehold::overload
