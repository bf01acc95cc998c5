/** How much is offered of each row, and which services its requests reach, at any depth.

    The calls that a server makes carry nothing of the request that they are made for. So a row counts as one
    that reaches a service when the service refuses a request of it, or when enough of its requests fail at
    servers whose calls the service refused meanwhile. Owns `rows` and `evidence` of ServiceState and `rows`
    of RootLimitState. Pure.
*/
#pragma once

#include "overload/root_limit_state.hpp"

namespace anisehold::overload
{

/** A client's request came, whether or not it is admitted. */
void recordOffered (RootLimitState&, TimePoint now, const RootRow&);

/** Requests of the row that were offered lately, each counted half after `volumeHalfLifeS`. */
double offeredVolume (const RowVolume&, TimePoint now);

/** The rate at which requests of the row came lately, per second. */
double offeredPerSecond (const RowVolume&);

/** `service` itself had no capacity for a request of `row`: the row reaches it. */
void recordReach (RootLimitState&, const std::string& row, const std::string& service);

/** A request of `row` failed at a server whose machine's calls `service` had refused meanwhile. The server
    may have failed for another reason, so the row counts as one that reaches the service only if that happens
    to a good part of its requests. */
void recordDownstreamFailure (RootLimitState&, TimePoint now, const std::string& row,
                              const std::string& service);

} // namespace anisehold::overload
