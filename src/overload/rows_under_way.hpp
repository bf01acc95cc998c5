/** Stabilizes the number of a row's requests in flight while only a share of them is admitted.

    With random admission by share alone, requests arrive in bursts. With too many in flight, calls at the end
    of their chains find full gates, and the work done before is lost; with too few, slots stay idle. With the
    number in flight held at the average for the share, the end of the chains is used evenly, and more
    requests can be admitted for the same number of refusals.

    Owns `inFlight` and `meanTime` of RowVolume. Relies on the caller to record the start and the end of each
    admitted request. Pure.
*/
#pragma once

#include <string>

#include "overload/root_limit_state.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** Records that a client's request of the row was admitted. */
void recordRequestStarted (RootLimitState&, const std::string& row);

/** Records the end of an admitted request, successful or not, after `elapsed`. */
void recordRequestEnded (RootLimitState&, const std::string& row, Duration elapsed);

/** Returns the share with which to admit the next request: above `admittedShare` while fewer requests than
    expected are in flight, below while more are; between 0 and 1. A share of 1, or the share of a row of
    which no request has ended, is unchanged. */
double correctedShare (const RowVolume&, double admittedShare);

/** The same, with a known request rate of the row instead of its recent mean. */
double correctedShare (const RowVolume&, double admittedShare, double perSecond);

} // namespace anisehold::overload
