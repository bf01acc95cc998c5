#include "returning/return_time.hpp"

#include <algorithm>

#include "protocol/half_life.hpp"
#include "returning/standing.hpp"

namespace anisehold::returning
{
namespace
{

/** Half-life of an admitted request in the rate of admissions, in seconds. */
constexpr double halfLifeS = 1;
/** Network latency of the refusal and of the returning request, and the error of the caller's timer. */
constexpr milliseconds latencyMargin{ 10 };
/** Factor of the mean duration of admitted requests within which most of them end. */
constexpr double durationMargin = 1.5;
/** Part of its remaining time up to which a caller honors a Retry-After. */
constexpr int honoredDivisor = 3;
/** Part of the time that remains over which returns are spread in addition to their booking. */
constexpr double spreadShare = 0.25;

double keptAt (const RowReturns& returns, TimePoint now)
{
    return kept_part (std::max (Duration::zero(), now - returns.updated), halfLifeS);
}

/** Returns the mean time between two admissions of the row. */
Duration admissionGap (const RowReturns& returns, TimePoint now)
{
    constexpr double minPerS = 0.1;
    const double perS =
        std::max (minPerS, returns.admitted * keptAt (returns, now) / count_window_s (halfLifeS));
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double> (1 / perS));
}

} // namespace

void recordAdmitted (ReturnTimes& state, TimePoint now, const std::string& row)
{
    if (! state.rows.contains (row) && state.rows.size() >= maxReturnRows)
        return;

    auto& returns = state.rows[row];
    returns.admitted = returns.admitted * keptAt (returns, now) + 1;
    returns.updated = now;
}

milliseconds chooseReturnTime (ReturnTimes& state, TimePoint now, const std::string& row,
                               const RefusedRequest& request)
{
    const auto longest = request.timeLeft / honoredDivisor;

    if (! canBeServed (request.timeLeft - std::min (request.earliest, longest), request.meanTime))
        return std::max (request.timeLeft, request.usual);

    if (request.smallestFresh == milliseconds (0) || request.isReturning)
        return request.usual;

    const auto expectedMs = std::chrono::ceil<milliseconds> (request.meanTime * durationMargin);
    const auto first = std::max (request.earliest, request.timeLeft - request.smallestFresh + latencyMargin);
    const auto last = std::min (longest, request.targetLatency - expectedMs) - latencyMargin;
    const auto found = state.rows.find (row);

    if (first > last || found == state.rows.end())
        return request.usual;

    auto& returns = found->second;
    returns.bookedUntil = std::clamp<TimePoint> (returns.bookedUntil, now + first, now + last);
    const auto booked = std::chrono::ceil<milliseconds> (returns.bookedUntil - now);
    returns.bookedUntil += admissionGap (returns, now);
    const auto spread =
        std::chrono::duration<double, std::milli> (last - first) * spreadShare * request.random;
    return std::min (booked + std::chrono::floor<milliseconds> (spread), last);
}

} // namespace anisehold::returning
