/** The caller's side of slot reservations: whether a request reserves a slot, and the state of its
   reservation at one gate.

    Workload: requests that must not run twice (a slot-book, a delivery-confirm) and requests that would queue
    at a gate. Until the request itself has been sent (`onCommitted`) it has certainly not run, so it may go
   to another server. From then on it may have run until an outcome proves the opposite. Pure.
*/
#pragma once

#include <cstdint>

#include "protocol/time_types.hpp"

namespace anisehold::reservation
{

/** A gate that has not replied to a reservation after this time counts as silent: it replies within 40 ms
    (`maxReplyDelay`); round trips between zones take 2 to 3 ms; the rest covers a busy machine. */
inline constexpr milliseconds silenceTimeout{ 100 };
/** A server with less than 1 / fullDivisor of its limit free is nearly full: other callers will take these
    slots within the age of its record. */
inline constexpr unsigned fullDivisor = 16;

/** What decides on a reservation. */
struct RequestFacts
{
    bool mustNotRunTwice = false;
    bool isLocal = false;   /**< The server is on this machine, so its gate is in this process. */
    bool isSuspect = false; /**< The request crashed a server; such requests have a queue of their own. */
    unsigned inFlight = 0;  /**< Load of the server as last reported. */
    unsigned queued = 0;
    unsigned limit = 0;
};

/** Whether the request reserves a slot before it is sent. A reservation costs a round trip and processor time
    at both daemons, so a request that may run twice is sent directly to a gate with free slots. */
bool needsReservation (const RequestFacts&);

enum class CallerPhase
{
    reserving, /**< Nothing has been sent but messages about the reservation. */
    granted,
    refused,   /**< The request has not run at this gate. */
    committed, /**< The request may have run. */
    settled    /**< The outcome of the commit is known: whether it ran is stated by the gate. */
};

/** Reservation of one request at one gate. */
struct CallerReservation
{
    CallerPhase phase = CallerPhase::reserving;
    TimePoint waitEnds;       /**< The request waits no longer for a slot. */
    std::uint64_t ticket = 0; /**< Place in the gate's queue; 0 before the first reply. */
    std::uint64_t grant = 0;  /**< 0 if the gate needs no reservation. */
    TimePoint grantEnds;      /**< Latest time at which the gate accepts the request. */
    bool gateWasSilent = false;
};

CallerReservation beginReservation (TimePoint now, Duration maxWait);
/** How long the reply to a message sent at `now` is waited for. */
TimePoint replyDeadline (TimePoint now);

/** The gate has granted a slot. */
void onGranted (CallerReservation&, TimePoint now, std::uint64_t grant, Duration validity);
/** The gate has put the request into its queue; refused once the wait has ended. */
void onWaiting (CallerReservation&, TimePoint now, std::uint64_t ticket);
/** The gate has refused, the connection broke, or the caller's own client is gone. */
void onRefused (CallerReservation&);
/** No reply in time. */
void onSilence (CallerReservation&);
/** Whether the request may be sent now; marks it as committed. False if the grant has ended meanwhile, e.g.
    because this process was paused: the gate would not run the request. */
bool tryCommit (CallerReservation&, TimePoint now);
/** The gate's statement on the committed request has arrived. */
void onSettled (CallerReservation&);

/** Whether the request may have run at this gate without a statement of the gate. */
bool mayHaveRun (const CallerReservation&);

} // namespace anisehold::reservation
