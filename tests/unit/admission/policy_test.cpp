#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "admission/adaptive_throttle.hpp"
#include "admission/policy/aimd_limit.hpp"
#include "admission/policy/gradient_limit.hpp"

using namespace anisehold;
using namespace anisehold::admission;

namespace {

TimePoint at_ms(long long ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

/// A server with `slots` places and an unbounded queue: the time to answer grows with what is in flight.
Duration latency_at(unsigned in_flight, unsigned slots) {
    const double factor = in_flight <= slots ? 1.0 : static_cast<double>(in_flight) / slots;
    return std::chrono::duration_cast<Duration>(milliseconds(10) * factor);
}

}  // namespace

TEST_CASE("the AIMD limit rises while it is used and falls on sheds, within its bounds") {
    AimdLimit limit({4, 10});
    for (int sample = 0; sample < 500; ++sample) {
        limit.on_sample(at_ms(sample), {SampleOutcome::kCompleted, milliseconds(10), limit.limit()});
    }
    CHECK(limit.limit() == 10);
    for (int sample = 0; sample < 100; ++sample) {
        limit.on_sample(at_ms(1'000 + sample * 200), {SampleOutcome::kShed, milliseconds(1), 10});
    }
    CHECK(limit.limit() == 1);
}

TEST_CASE("one burst of sheds cuts the AIMD limit once") {
    AimdLimit limit({10, 10});
    for (int sample = 0; sample < 50; ++sample) {
        limit.on_sample(at_ms(5'000), {SampleOutcome::kShed, milliseconds(1), 10});
    }
    CHECK(limit.limit() == 8);
}

TEST_CASE("an idle server doesn't raise the AIMD limit") {
    AimdLimit limit({4, 100});
    for (int sample = 0; sample < 1'000; ++sample) {
        limit.on_sample(at_ms(sample), {SampleOutcome::kCompleted, milliseconds(10), 1});
    }
    CHECK(limit.limit() == 4);
}

TEST_CASE("the gradient limit settles near the slots of a server that queues by itself") {
    constexpr unsigned server_slots = 10;
    GradientLimit limit({4, 200});
    for (int sample = 0; sample < 20'000; ++sample) {
        const auto in_flight = limit.limit();
        limit.on_sample(at_ms(sample),
                        {SampleOutcome::kCompleted, latency_at(in_flight, server_slots), in_flight});
    }
    CHECK(limit.limit() >= server_slots);
    CHECK(limit.limit() <= 2 * server_slots);
}

TEST_CASE("the throttle lets all through while nothing is refused") {
    AdaptiveThrottle throttle;
    for (int request = 0; request < 1'000; ++request) {
        CHECK_FALSE(throttle.refuses(at_ms(request), {"row", 5}, 0.0));
        throttle.on_result(at_ms(request), {"row", 5}, "");
    }
}

TEST_CASE(
    "the throttle refuses the least important first, lets through little more than the service takes, "
    "and is gone a second after its cause") {
    // A thousand roots a second, half of them important; the service takes 600, the important ones first.
    AdaptiveThrottle throttle;
    const ThrottledRow important{"important", 0};
    const ThrottledRow bulk{"bulk", 8};
    std::map<std::string, unsigned> let_through;
    unsigned taken = 0;
    double room = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        room = std::min(room + 0.6, 5.0);
        const auto& row = ms % 2 == 0 ? important : bulk;
        if (throttle.refuses(at_ms(ms), row, (ms * 37 % 100) / 100.0)) {
            continue;
        }
        const bool refused = room < (row.priority == 0 ? 1 : 3);
        room -= refused ? 0 : 1;
        throttle.on_result(at_ms(ms), row, refused ? "deep" : "");
        const bool settled = ms >= 2'000;
        let_through[row.name] += settled ? 1 : 0;
        taken += settled && !refused ? 1 : 0;
    }
    CHECK(let_through["important"] > 0.97 * 4'000);
    CHECK(taken > 0.85 * 8'000 * 0.6);
    CHECK(let_through["important"] + let_through["bulk"] < 1.3 * taken);
    CHECK(throttle.refusal_share({"other", 9}) == 0);
    for (int ms = 10'000; ms < 11'100; ++ms) {
        if (!throttle.refuses(at_ms(ms), bulk, (ms * 37 % 100) / 100.0)) {
            throttle.on_result(at_ms(ms), bulk, "");
        }
    }
    CHECK(throttle.refusal_share(bulk) == 0);
}

TEST_CASE("a slow rise of the throttle grows while nothing is refused") {
    const ThrottledRow row{"row", 5};
    const auto share_after_clean = [&](unsigned clean_windows_to_double) {
        AdaptiveThrottle throttle({milliseconds(100), 1, 0.25, 0.01, clean_windows_to_double});
        int ms = 0;
        for (; ms < 2'000; ms += 10) {
            throttle.on_result(at_ms(ms), row, "deep");
        }
        CHECK(throttle.refusal_share(row) > 0.8);
        for (; ms < 5'000; ms += 10) {
            throttle.on_result(at_ms(ms), row, "");
        }
        return throttle.refusal_share(row);
    };
    CHECK(share_after_clean(0) > 0.5);
    CHECK(share_after_clean(4) == 0);
}
