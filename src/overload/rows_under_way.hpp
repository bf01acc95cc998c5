/** Keeps the number of a row's requests that are under way steady while only a share of them is admitted.

    Drawn by share alone, requests come in groups: now too many, and calls at the end of their chains meet
   full gates and take work done before with them; now too few, and slots stand empty. With as many under way
   as the share brings about on average, the end of the chains is used evenly, and more can be admitted for
   the same refusals.

    Owns `inFlight` and `meanTime` of RowVolume. Relies on the caller to note each admitted request's begin
   and end. Pure.
*/
#pragma once

#include <string>

#include "overload/root_limit_state.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** A client's request of the row was admitted. */
void recordRequestStarted (RootLimitState&, const std::string& row);

/** It ended, however, after `elapsed`. */
void recordRequestEnded (RootLimitState&, const std::string& row, Duration elapsed);

/** The share to admit the next request with: more than `admittedShare` while fewer requests than usual are
   under way, less while more are; between 0 and 1. A whole share, or one of a row of which none has ended,
   stays. */
double correctedShare (const RowVolume&, double admittedShare);

} // namespace anisehold::overload
