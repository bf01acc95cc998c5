/** What precedence a client's request has while capacity is short, by its remaining time. Pure. */
#pragma once

#include <algorithm>

#include "protocol/time_types.hpp"

namespace anisehold::returning
{

enum class Standing
{
    fresh,     /**< Can't be told apart from a fresh request. */
    returning, /**< Was refused before, and can be served within its target latency. */
    late,      /**< Was refused before, and can be served after its target latency only. */
    unservable /**< Was refused before, and its remaining time cannot suffice. */
};

/** The properties of a request that its standing depends on. */
struct StandingInput
{
    milliseconds timeLeft{ 0 };
    milliseconds smallestFresh{ 0 }; /**< Time left below which a request isn't fresh; 0 if unknown. */
    milliseconds targetLatency{ 0 }; /**< Counted from the caller's first attempt. */
    milliseconds minWait{ 0 };       /**< Minimum time after which a refused caller comes back. */
    Duration meanTime{};             /**< Mean duration of the row's admitted requests; 0 if unknown. */
};

/** Whether a request with this remaining time can be served before its deadline. */
inline bool canBeServed (milliseconds timeLeft, Duration meanTime)
{
    return timeLeft >= meanTime;
}

/** Returns the standing of a request. A late one gets no precedence: it would take the place of a fresh
    request that can be served in time, whose own return would be late. With precedence for late returns, a
    lasting shortage would serve all callers at their second attempt, too late. */
inline Standing standingOf (const StandingInput& request)
{
    if (request.timeLeft >= request.smallestFresh)
        return Standing::fresh;

    if (! canBeServed (request.timeLeft, request.meanTime))
        return Standing::unservable;

    const auto minElapsed = std::max (request.minWait, request.smallestFresh - request.timeLeft);
    return minElapsed + request.meanTime <= request.targetLatency ? Standing::returning : Standing::late;
}

/** Stable name for the log. */
inline const char* nameOf (Standing standing)
{
    switch (standing)
    {
        case Standing::fresh:
            return "no";
        case Standing::returning:
            return "yes";
        case Standing::late:
            return "late";
        case Standing::unservable:
            return "unservable";
    }

    return "no";
}

} // namespace anisehold::returning
