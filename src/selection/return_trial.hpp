/** Schedules trial requests to servers that a daemon avoids after failures.

    A server without requests yields no new measurements: its share of failures decays, but its last latency
    doesn't, and both together could keep its expected cost too high for as long as other servers have free
    slots. So one repeatable request is sent to the server at a fixed time after its last failure, whatever
    its expected cost; a success ends the trials, a failure restarts the interval. Only one trial is in flight
    at a time: without this limit all requests would return together once the share of failures has decayed.

    Owns no state: the caller that selects servers keeps ReturnTrials and records the results of requests.
    Pure.
*/
#pragma once

#include <string>
#include <unordered_map>

#include "membership/peer_directory.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::selection
{

/** Time of the next trial of each server whose last request failed, by instance. */
using ReturnTrials = std::unordered_map<std::string, TimePoint>;

/** Time from a failure, or from a trial without a result yet, to the next trial. */
inline constexpr milliseconds trialInterval{ 3'000 };
/** A trial that is overdue for this time without a matching server is discarded: the server has left the
    fleet. */
inline constexpr milliseconds trialExpiry{ 60'000 };

/** Records the result of a request to the server. */
void recordTrialResult (ReturnTrials&, TimePoint now, const std::string& instance, bool failed);

/** Returns a server of the view whose trial is due, and schedules its next trial; null if none is due. */
const membership::KnownServer* startDueTrial (ReturnTrials&, TimePoint now, const membership::ServiceView&);

} // namespace anisehold::selection
