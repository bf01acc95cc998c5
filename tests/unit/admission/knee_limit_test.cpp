#include "admission/policy/knee_limit.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace anisehold;
using namespace anisehold::admission;

namespace {

const TimePoint kStart = TimePoint() + seconds(100);
constexpr unsigned kSlots = 20;

/// Mean time, in milliseconds, of a call by the number in flight at its start.
using TimeAt = std::function<double(unsigned)>;

/// Feeds the limit one call per millisecond for `time`, with three quarters to all of the limit in flight and
/// call times that scatter by half. Returns the end time.
TimePoint feed(KneeLimit& limit, TimePoint now, milliseconds time, const TimeAt& time_at) {
    std::mt19937 random(7);
    std::uniform_real_distribution<double> scatter(0.5, 1.5);
    const auto end = now + time;
    for (; now < end; now += milliseconds(1)) {
        std::uniform_int_distribution<unsigned> in_flight(limit.limit() * 3 / 4, limit.limit());
        const unsigned running = in_flight(random);
        const std::chrono::duration<double, std::milli> call_time(scatter(random) * time_at(running));
        limit.on_sample(
            now, {SampleOutcome::kCompleted, std::chrono::duration_cast<Duration>(call_time), running});
    }
    return now;
}

double with_knee(unsigned in_flight) {
    return in_flight >= 19 ? 28.6 : 22.0;
}

/// Fraction of the time in which the limit is below all slots for a server that is always full, at one call
/// per millisecond.
double time_below_slots(const TimeAt& time_at) {
    KneeLimit limit(kSlots);
    std::mt19937 random(3);
    std::uniform_real_distribution<double> scatter(0.5, 1.5);
    constexpr int calls = 30'000;
    int below = 0;
    for (int call = 0; call < calls; ++call) {
        const auto running = limit.limit();
        below += running < kSlots ? 1 : 0;
        const std::chrono::duration<double, std::milli> call_time(scatter(random) * time_at(running));
        limit.on_sample(
            kStart + milliseconds(call),
            {SampleOutcome::kCompleted, std::chrono::duration_cast<Duration>(call_time), running});
    }
    return below / static_cast<double>(calls);
}

}  // namespace

TEST_CASE("a server that is always full is kept below its knee, except for short probes") {
    CHECK(time_below_slots(with_knee) > 0.9);
}

TEST_CASE("a server without a knee that is always full is limited only during short probes") {
    const double below = time_below_slots([](unsigned /*in_flight*/) { return 22.0; });
    CHECK(below < 0.05);
    CHECK(below > 0);
}

TEST_CASE("a server that slows down when nearly full is kept below its knee") {
    KneeLimit limit(kSlots);
    CHECK(limit.limit() == kSlots);
    feed(limit, kStart, seconds(2), with_knee);
    CHECK(limit.limit() < 19);
    CHECK(limit.limit() >= 16);
}

TEST_CASE("a server whose call times don't depend on load gets all its slots") {
    KneeLimit limit(kSlots);
    auto now = kStart;
    for (int second = 0; second < 20; ++second) {
        now = feed(limit, now, seconds(1), [](unsigned /*in_flight*/) { return 22.0; });
        CHECK(limit.limit() == kSlots);
    }
}

TEST_CASE("call times proportional to concurrency, as with a slow dependency, don't lower the limit") {
    KneeLimit limit(kSlots);
    feed(limit, kStart, seconds(5), [](unsigned in_flight) { return 5.0 * in_flight; });
    CHECK(limit.limit() == kSlots);
}

TEST_CASE("all slots are used again once their measurements are old") {
    KneeLimit limit(kSlots);
    auto now = feed(limit, kStart, seconds(2), with_knee);
    REQUIRE(limit.limit() < kSlots);
    bool tried = false;
    for (int step = 0; step < 200 && !tried; ++step) {
        now = feed(limit, now, milliseconds(100), [](unsigned /*in_flight*/) { return 22.0; });
        tried = limit.limit() == kSlots;
    }
    CHECK(tried);
    feed(limit, now, seconds(1), [](unsigned /*in_flight*/) { return 22.0; });
    CHECK(limit.limit() == kSlots);
}

TEST_CASE("calls shed by the server don't lower the limit, and a single slot stays available") {
    KneeLimit limit(kSlots);
    for (int call = 0; call < 500; ++call) {
        limit.on_sample(kStart + milliseconds(call), {SampleOutcome::kShed, milliseconds(1), kSlots});
    }
    CHECK(limit.limit() == kSlots);
    KneeLimit single(1);
    feed(single, kStart, seconds(1), [](unsigned /*in_flight*/) { return 22.0; });
    CHECK(single.limit() == 1);
}
