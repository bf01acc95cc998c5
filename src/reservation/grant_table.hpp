/** The gate's side of slot reservations: places in the queue and slots that are held for callers whose
    requests have not arrived yet.

    Workload: 690 to 4,561 of about 90,000 requests a day ended with 502 or 504 without having reached a
   server, because they were queued at a gate whose daemon was then killed, partitioned or silent. A request
   is therefore sent only after the gate has granted a slot, so that waiting callers know that nothing has
   run.

    The table owns the validity of grants and of places in the queue; admission::ServerGate owns the order of
    the queue and the number of slots. Each place in the table has a place at the ServerGate, in its queue or
    among its running calls, so the table is bounded as the gate is: its queue, its limit and the few
    reservations ahead of it. Pure.
*/
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/server_gate.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::reservation
{

/** Time after which the reply to a reservation that waits is sent; the caller then renews its place. */
inline constexpr milliseconds maxReplyDelay{ 40 };
/** A place in the queue that is not renewed for this long is given up. */
inline constexpr milliseconds renewalTime{ 100 };
/** Validity of a grant: the cost of a caller that is gone, in time of one slot. */
inline constexpr milliseconds grantValidity{ 100 };

/** One reservation. */
struct Place
{
    std::uint64_t run = 0; /**< Id of the call at the ServerGate. */
    bool isGranted = false;
    bool isAwaited = false; /**< A message of the caller waits for the reply; such a place doesn't expire. */
    Duration retryAfter{};  /**< Expected time until a slot is free, as of the arrival. */
    TimePoint waitEnds;     /**< The caller waits no longer for a slot. */
    TimePoint endsAt;       /**< A place that is not awaited, or a grant, ends at this time. */
};

/** All reservations of one server. */
struct GrantTable
{
    std::unordered_map<std::uint64_t, Place> places; /**< By the number that the caller knows. */
    std::unordered_map<std::uint64_t, std::uint64_t> numberOfRun;
};

/** Draws a random number. */
using Draw = std::function<std::uint64_t()>;

enum class ReserveVerdict
{
    granted,
    waiting,
    refused, /**< The server is overloaded, or the rate it takes is used up. */
    unknown  /**< The place has been given up, or belongs to an earlier process. */
};

struct ReserveDecision
{
    ReserveVerdict verdict = ReserveVerdict::unknown;
    std::uint64_t number = 0;             /**< If granted or waiting: the number for the caller. */
    std::uint64_t run = 0;                /**< If granted or waiting: the call's id at the ServerGate. */
    Duration retryAfter{};                /**< Unless granted: expected time until a slot is free. */
    TimePoint waitEnds;                   /**< If waiting: the caller waits no longer. */
    std::optional<std::uint64_t> evicted; /**< Waiting call refused in favor of this one. */
};

/** Asks for a slot for `call`. A place that waits counts as awaited. */
ReserveDecision reserve (admission::ServerGate&, GrantTable&, TimePoint now, admission::GateCall call,
                         const Draw&);
/** Renews the place; it counts as awaited if it still waits. */
ReserveDecision renew (GrantTable&, TimePoint now, std::uint64_t number);
/** The reply "waiting" has been sent; the place ends unless it is renewed. */
void onReplied (GrantTable&, TimePoint now, std::uint64_t number);
/** The ServerGate has admitted the waiting call `run`; no effect if it is no reservation. */
void onAdmitted (GrantTable&, TimePoint now, std::uint64_t run);
/** The ServerGate has refused the waiting call `run` in favor of another; no effect if it is no reservation.
 */
void onEvicted (GrantTable&, std::uint64_t run);
/** The request of a grant has arrived, and is called `run` from now on. Returns nothing if there is no valid
    grant with this number: then the request must not run. A grant is taken by one request only. */
std::optional<admission::CommitVerdict> commit (admission::ServerGate&, GrantTable&, TimePoint now,
                                                std::uint64_t number, std::uint64_t run);

/** Reservations that have ended without a request. */
struct Ended
{
    unsigned grants = 0;
    unsigned places = 0;
    std::vector<std::uint64_t> admitted; /**< Waiting calls that have a slot now; reservations are granted. */
};

/** Ends a reservation at the caller's request, or because its caller is gone. */
Ended withdraw (admission::ServerGate&, GrantTable&, TimePoint now, std::uint64_t number);
/** Ends the grants and places whose time is up. */
Ended expire (admission::ServerGate&, GrantTable&, TimePoint now);
/** When the next place or grant expires. */
std::optional<TimePoint> nextExpiry (const GrantTable&);

} // namespace anisehold::reservation
