#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "admission/adaptive_throttle.hpp"
#include "admission/policy/aimd_limit.hpp"

using namespace anisehold;
using namespace anisehold::admission;

namespace {

TimePoint at_ms(long long ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

}  // namespace

TEST_CASE("the AIMD limit rises while in use and falls when calls are shed, within its bounds") {
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

TEST_CASE("a burst of shed calls reduces the AIMD limit once") {
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

TEST_CASE("the throttle admits all requests while no service rejects calls") {
    AdaptiveThrottle throttle;
    for (int request = 0; request < 1'000; ++request) {
        CHECK_FALSE(throttle.refuses(at_ms(request), {"row", 5}, 0.0));
        throttle.on_result(at_ms(request), {"row", 5}, "");
    }
}

TEST_CASE(
    "the throttle rejects the least important requests first, admits little more than the capacity, "
    "and ends within a second after its cause") {
    // 1000 root requests per second, half of them important; the service serves 600, important ones first.
    AdaptiveThrottle throttle;
    const ThrottledRow important{"important", 0};
    const ThrottledRow bulk{"bulk", 8};
    std::map<std::string, unsigned> admitted;
    unsigned taken = 0;
    double tokens = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        tokens = std::min(tokens + 0.6, 5.0);
        const auto& row = ms % 2 == 0 ? important : bulk;
        if (throttle.refuses(at_ms(ms), row, (ms * 37 % 100) / 100.0)) {
            continue;
        }
        const bool refused = tokens < (row.priority == 0 ? 1 : 3);
        tokens -= refused ? 0 : 1;
        throttle.on_result(at_ms(ms), row, refused ? "deep" : "");
        const bool settled = ms >= 2'000;
        admitted[row.name] += settled ? 1 : 0;
        taken += settled && !refused ? 1 : 0;
    }
    CHECK(admitted["important"] > 0.97 * 4'000);
    CHECK(taken > 0.85 * 8'000 * 0.6);
    CHECK(admitted["important"] + admitted["bulk"] < 1.3 * taken);
    CHECK(throttle.refusal_share({"other", 9}) == 0);
    for (int ms = 10'000; ms < 11'100; ++ms) {
        if (!throttle.refuses(at_ms(ms), bulk, (ms * 37 % 100) / 100.0)) {
            throttle.on_result(at_ms(ms), bulk, "");
        }
    }
    CHECK(throttle.refusal_share(bulk) == 0);
}
