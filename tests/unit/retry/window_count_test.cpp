#include "retry/window_count.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::retry;

namespace {

const TimePoint kStart = TimePoint() + seconds(1'000);
constexpr milliseconds kWindow{10'000};

/// Adds one event per 10 ms for the given time.
TimePoint add_events(WindowCount& count, TimePoint from, Duration time) {
    auto now = from;
    for (; now < from + time; now += milliseconds(10)) {
        count.add(now, 1);
    }
    return now;
}

}  // namespace

TEST_CASE("the counts of a window differ from the events in it by at most one slice") {
    WindowCount count(kWindow);
    const auto now = add_events(count, kStart, seconds(30));
    CHECK(count.current(now) >= 990 - 10);
    CHECK(count.current(now) <= 1'000);
    CHECK(count.upper(now) >= 1'000);
    CHECK(count.upper(now) <= 1'010);
}

TEST_CASE("events of earlier windows are counted until the previous window has passed") {
    WindowCount count(kWindow);
    const auto now = add_events(count, kStart, seconds(10));
    CHECK(count.largest(now + seconds(5)) >= 980);
    CHECK(count.largest(now + seconds(9)) >= 890);
    CHECK(count.current(now + seconds(11)) == 0);
    CHECK(count.largest(now + seconds(21)) == 0);
}

TEST_CASE("a long pause clears all counts") {
    WindowCount count(kWindow);
    const auto now = add_events(count, kStart, seconds(10)) + seconds(3'600);
    CHECK(count.upper(now) == 0);
    CHECK(count.largest(now) == 0);
    count.add(now, 2);
    CHECK(count.current(now) == 2);
}

TEST_CASE("a changed window starts new counts, an unchanged one keeps them") {
    WindowCount count(kWindow);
    count.add(kStart, 1);
    count.set_window(kWindow);
    CHECK(count.current(kStart) == 1);
    count.set_window(milliseconds(5'000));
    CHECK(count.current(kStart) == 0);
}
