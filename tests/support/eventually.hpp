/// @file
/// Waits for a condition.
#pragma once

#include <boost/fiber/operations.hpp>

#include "protocol/time_types.hpp"

namespace anisehold::testing {

/// Polls until `condition` holds while other fibers run; false if the time-out expires first.
template <typename Condition>
bool poll_until(Duration timeout, Condition condition) {
    constexpr milliseconds period{20};
    const auto deadline = TimePoint::clock::now() + timeout;
    while (!condition()) {
        if (TimePoint::clock::now() >= deadline) {
            return false;
        }
        boost::this_fiber::sleep_for(period);
    }
    return true;
}

}  // namespace anisehold::testing
