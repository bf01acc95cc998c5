#include "stopping/completion.hpp"

#include <algorithm>

namespace anisehold::stopping
{
namespace
{

/** The next request may exceed the longest of n recorded times by this share of it, divided by n: the fewer
    requests were seen, the more probable is a longer one. */
constexpr double smallSampleExcess = 2;

/** Returns the times as of `now`. */
RowTimes currentTimes (const RowTimes& times, TimePoint now)
{
    const auto age = now - times.windowBegan;

    if (age < windowLength)
        return times;

    RowTimes moved;
    moved.windowBegan = now;

    if (age < 2 * windowLength)
        moved.before = times.current;

    return moved;
}

/** Whether nothing is known of the row any more. */
bool isForgotten (const RowTimes& times, TimePoint now)
{
    const auto current = currentTimes (times, now);
    return current.current.count == 0 && current.before.count == 0;
}

} // namespace

void recordCompleted (CompletionTimes& state, TimePoint now, const std::string& row, Duration elapsed)
{
    auto& rows = state.rows;
    auto found = rows.find (row);

    if (found == rows.end())
    {
        if (rows.size() >= maxRows)
            std::erase_if (rows, [now] (const auto& it) { return isForgotten (it.second, now); });

        if (rows.size() >= maxRows)
            return;

        found = rows.emplace (row, RowTimes{ {}, {}, now }).first;
    }

    auto& times = found->second;
    times = currentTimes (times, now);
    times.current.longest = std::max (times.current.longest, elapsed);
    ++times.current.count;
}

std::optional<Duration> expectedTime (const CompletionTimes& state, TimePoint now, const std::string& row)
{
    const auto found = state.rows.find (row);

    if (found == state.rows.end() || isForgotten (found->second, now))
        return std::nullopt;

    const auto times = currentTimes (found->second, now);
    const auto longest = std::max (times.current.longest, times.before.longest);
    const double excess = smallSampleExcess / (times.current.count + times.before.count);
    return longest + std::chrono::duration_cast<Duration> (excess * longest);
}

bool canComplete (const CompletionTimes& state, TimePoint now, const BeginningRequest& request,
                  const StopTimes& stop)
{
    const Duration latest = request.deadline - now;
    const auto needed = std::min (expectedTime (state, now, request.row).value_or (latest), latest);
    return now + needed + responseMargin <= stop.processEnds;
}

Duration retryDelay (TimePoint now, const StopTimes& stop)
{
    const auto next = now < stop.callersSwitched ? stop.callersSwitched : stop.processEnds;
    return std::max<Duration> (next - now, minRetryDelay);
}

} // namespace anisehold::stopping
