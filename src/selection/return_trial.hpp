/** Brings a server back that a daemon passes over because it saw it fail.

    While a server gets no requests, nothing new is learned of it: its failures fade, but its last latency
   stays, and by both together it could stay too dear for as long as others have free slots. So one request
   that may be repeated goes to it at a set time after its last failure, whatever it is expected to cost; a
   success ends that, a failure begins the time anew. One at a time, since all would return together once the
   failures have faded.

    Owns nothing: whoever chooses servers keeps ReturnTrials and notes the ends of requests. Pure.
*/
#pragma once

#include <string>
#include <unordered_map>

#include "membership/peer_directory.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::selection
{

/** When the next trial of each server is due that failed last, by instance. */
using ReturnTrials = std::unordered_map<std::string, TimePoint>;

/** Time from a failure, or from a trial whose end isn't known yet, to the next trial. */
inline constexpr milliseconds trialInterval{ 3'000 };
/** A trial that found no server for so long is given up: the server has left the fleet. */
inline constexpr milliseconds trialExpiry{ 60'000 };

/** Records the end of a request at the server. */
void recordTrialResult (ReturnTrials&, TimePoint now, const std::string& instance, bool failed);

/** A server of the view whose trial is due; its next one is put off. Null if none is. */
const membership::KnownServer* startDueTrial (ReturnTrials&, TimePoint now, const membership::ServiceView&);

} // namespace anisehold::selection
