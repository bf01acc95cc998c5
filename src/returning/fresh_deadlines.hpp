/** Recognizes requests that were certainly refused before, by their deadline.

    Addresses bursts in which many callers are refused and come back: a caller waits for the Retry-After that
    it was told and then sends its request once more, with a new id, at any daemon, and with the time that it
    has left. The deadlines of fresh requests of a route scatter over about 15 % (4,250 to 5,000 ms for a
    parcel history). A deadline below those of all fresh requests is that of a return; others can't be told
    apart.

    The range is learned for each route from the requests that arrive while none is refused. The lower bound
   is a low quantile, so that single callers with a shorter deadline don't move it. Without a range no request
    is recognized.

    Owns FreshDeadlines. State: at most `maxRoutes` routes of at most `maxBins` counts; no messages. Pure.
*/
#pragma once

#include <map>
#include <optional>
#include <string>

#include "protocol/time_types.hpp"

namespace anisehold::returning
{

/** Decayed numbers of fresh requests of a route by their deadline. */
struct DeadlineCounts
{
    std::map<int, double> bins; /**< By the logarithm of the deadline. */
    double total = 0;
    TimePoint updated;
    TimePoint refused; /**< Latest refusal of a request of the route. */
};

/** The deadlines of fresh requests, by route. */
struct FreshDeadlines
{
    std::map<std::string, DeadlineCounts> routes;
};

/** Records a request of a client with this time left. `isRefusing`: some requests of the route are refused
    at present. */
void recordArrival (FreshDeadlines&, TimePoint now, const std::string& route, milliseconds timeLeft,
                    bool isRefusing);

/** Records that a request of the route was refused with a Retry-After. */
void recordRefusal (FreshDeadlines&, TimePoint now, const std::string& route);

/** Returns the time left below which a request of the route isn't fresh; empty if it isn't known. */
std::optional<milliseconds> smallestFresh (const FreshDeadlines&, TimePoint now, const std::string& route);

inline constexpr std::size_t maxRoutes = 64;
inline constexpr std::size_t maxBins = 128;

} // namespace anisehold::returning
