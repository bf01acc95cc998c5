#include "admission/server_rate.hpp"

#include <catch2/catch.hpp>
#include <random>

#include "admission/policy/fixed_limit.hpp"
#include "admission/server_gate.hpp"

using namespace anisehold;
using namespace anisehold::admission;

namespace {

constexpr double kWindowS = 4;

TimePoint at_ms(long long ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

RequestRate rate_of(double per_s) {
    return RequestRate(static_cast<std::uint32_t>(per_s * 1'000));
}

/// Maximum number of requests in any window of four seconds that counts as within the limit.
double max_allowed(double per_s) {
    return 1.5 * kWindowS * per_s + 5;
}

/// Maximum number of the times (milliseconds, ascending) within one window of four seconds.
std::size_t max_in_window(const std::vector<long long>& times) {
    std::size_t highest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= 4'000) {
            ++first;
        }
        highest = std::max(highest, last - first + 1);
    }
    return highest;
}

GateCall call(std::uint64_t id, long long ms, unsigned priority = 1) {
    GateCall result;
    result.id = id;
    result.priority = priority;
    result.root_started = at_ms(ms);
    result.deadline = at_ms(ms + 5'000);
    result.latest_start = at_ms(ms + 400);
    return result;
}

ServerGate limited_gate(unsigned slots, double per_s) {
    ServerGate gate(std::make_unique<FixedLimit>(slots), GateOptions{});
    gate.rate().on_answer(at_ms(0), at_ms(0), rate_of(per_s));
    return gate;
}

}  // namespace

TEST_CASE("without a limit every request may be sent") {
    ServerRate rate;
    CHECK(rate.on_answer(at_ms(0), at_ms(0), std::nullopt) == RateChange::kNone);
    CHECK(rate.may_send(at_ms(0)));
    CHECK_FALSE(rate.concurrency(at_ms(0), milliseconds(100)));
}

TEST_CASE("a rate limit holds in every window and is fully used") {
    const double per_s = GENERATE(0.5, 1.0, 11.5, 100.0);
    CAPTURE(per_s);
    ServerRate rate;
    CHECK(rate.on_answer(at_ms(0), at_ms(0), rate_of(per_s)) == RateChange::kStarted);
    std::vector<long long> sent;
    // Low load until 20 s: tokens saved up meanwhile must not be spent at once.
    for (long long ms = 0; ms < 60'000; ms += 2) {
        const auto now = at_ms(ms);
        if ((ms < 5'000 || ms > 20'000) && rate.may_send(now)) {
            rate.on_sent(now);
            sent.push_back(ms);
        }
    }
    CHECK(static_cast<double>(max_in_window(sent)) <= max_allowed(per_s));
    CHECK(static_cast<double>(sent.size()) >= 0.95 * per_s * 45);
}

TEST_CASE("a rate limit of zero admits occasional requests to detect its end") {
    ServerRate rate;
    rate.on_answer(at_ms(0), at_ms(0), rate_of(0));
    unsigned sent = 0;
    for (long long ms = 0; ms < 40'000; ms += 10) {
        if (rate.may_send(at_ms(ms))) {
            rate.on_sent(at_ms(ms));
            ++sent;
        }
    }
    CHECK(sent >= 9);
    CHECK(sent <= 11);
}

TEST_CASE("a response without a limit ends the limit unless written before the limit was named") {
    ServerRate rate;
    rate.on_answer(at_ms(100), at_ms(0), rate_of(5));
    CHECK(rate.on_answer(at_ms(110), at_ms(50), std::nullopt) == RateChange::kNone);
    CHECK(rate.limit() == rate_of(5));
    CHECK(rate.on_answer(at_ms(200), at_ms(120), std::nullopt) == RateChange::kEnded);
    CHECK_FALSE(rate.limit());
    CHECK(rate.on_answer(at_ms(210), at_ms(130), rate_of(7)) == RateChange::kStarted);
    CHECK(rate.on_answer(at_ms(220), at_ms(130), rate_of(8)) == RateChange::kChanged);
    CHECK(rate.age(at_ms(250)) == milliseconds(30));
}

TEST_CASE("reports of callers are used until the server has responded") {
    ServerRate rate;
    CHECK(rate.on_report(at_ms(0), rate_of(5)) == RateChange::kStarted);
    CHECK(rate.on_report(at_ms(1), rate_of(50)) == RateChange::kNone);
    CHECK(rate.on_answer(at_ms(100), at_ms(2), std::nullopt) == RateChange::kEnded);
    CHECK(rate.on_report(at_ms(101), rate_of(5)) == RateChange::kNone);
    CHECK(rate.may_send(at_ms(101)));
}

TEST_CASE("a limit keeps callers away only while it is confirmed") {
    ServerRate rate;
    rate.on_answer(at_ms(0), at_ms(0), rate_of(20));
    CHECK(rate.concurrency(at_ms(500), milliseconds(200)) == 4U);
    CHECK_FALSE(rate.concurrency(at_ms(1'500), milliseconds(200)));
    rate.on_refused(at_ms(1'500));
    CHECK(rate.concurrency(at_ms(1'600), milliseconds(200)) == 4U);
}

TEST_CASE("a gate sends at most the server's rate, most important calls first") {
    auto gate = limited_gate(16, 5);
    CHECK(gate.arrive(at_ms(0), call(1, 0)).verdict == GateVerdict::kAdmitted);
    CHECK(gate.arrive(at_ms(0), call(2, 0, 3)).verdict == GateVerdict::kQueued);
    CHECK(gate.arrive(at_ms(1), call(3, 0, 0)).verdict == GateVerdict::kQueued);
    CHECK(gate.is_rate_limited());
    REQUIRE(gate.next_release(at_ms(1)));
    CHECK(*gate.next_release(at_ms(1)) >= at_ms(200));
    CHECK(*gate.next_release(at_ms(1)) < at_ms(201));
    CHECK(gate.finish(at_ms(50), 1, SampleOutcome::kCompleted, {}).empty());
    CHECK(gate.release(at_ms(200)) == std::vector<std::uint64_t>{3});
    CHECK(gate.release(at_ms(400)) == std::vector<std::uint64_t>{2});
    CHECK_FALSE(gate.next_release(at_ms(400)));
}

TEST_CASE("a call that the rate doesn't allow before its caller stops waiting is refused at once") {
    auto gate = limited_gate(16, 5);
    gate.arrive(at_ms(0), call(1, 0));
    CHECK(gate.arrive(at_ms(0), call(2, 0)).verdict == GateVerdict::kQueued);
    CHECK(gate.arrive(at_ms(0), call(3, 0)).verdict == GateVerdict::kQueued);
    const auto refused = gate.arrive(at_ms(0), call(4, 0));
    CHECK(refused.verdict == GateVerdict::kRefused);
    CHECK(refused.retry_after >= milliseconds(600));
}

TEST_CASE("after a suspended daemon resumes, its queue isn't released all at once") {
    auto gate = limited_gate(16, 5);
    gate.arrive(at_ms(0), call(1, 0));
    for (std::uint64_t id = 2; id < 10; ++id) {
        auto patient = call(id, 0);
        patient.latest_start = at_ms(60'000);
        patient.deadline = at_ms(60'000);
        REQUIRE(gate.arrive(at_ms(0), patient).verdict == GateVerdict::kQueued);
    }
    CHECK(gate.release(at_ms(30'000)).size() <= 2);
}

TEST_CASE("the end of a rate limit starts the waiting calls") {
    auto gate = limited_gate(16, 5);
    gate.arrive(at_ms(0), call(1, 0));
    gate.arrive(at_ms(0), call(2, 0));
    gate.rate().on_answer(at_ms(50), at_ms(10), std::nullopt);
    CHECK(gate.release(at_ms(50)) == std::vector<std::uint64_t>{2});
}
