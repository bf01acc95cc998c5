/** Counts events in sliding windows, for checks of a bound that holds in every window. */
#pragma once

#include <algorithm>
#include <deque>

#include "protocol/time_types.hpp"

namespace anisehold::model
{

/** Counts events of the last three windows by time. */
class SlidingCount
{
public:
    void add (TimePoint now) { times.push_back (now); }

    /** Number of events in the window that ended `before` ago. */
    double inWindow (TimePoint now, Duration window, Duration before) const
    {
        const auto end = std::upper_bound (times.begin(), times.end(), now - before);
        const auto begin = std::upper_bound (times.begin(), times.end(), now - before - window);
        return static_cast<double> (end - begin);
    }

    /** Number of events that a retry bound counts: in the window with the most of them, of the current one,
       the previous one, and the one half a window earlier. */
    double inLargestWindow (TimePoint now, Duration window) const
    {
        return std::max ({ inWindow (now, window, {}), inWindow (now, window, window / 2),
                           inWindow (now, window, window) });
    }

    void discardOld (TimePoint now, Duration window)
    {
        while (! times.empty() && now - times.front() > 3 * window)
            times.pop_front();
    }

private:
    std::deque<TimePoint> times;
};

} // namespace anisehold::model
