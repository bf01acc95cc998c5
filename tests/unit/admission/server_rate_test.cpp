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

/// Requests in any window of four seconds beyond which a limit is broken.
double allowed_by(double per_s) {
    return 1.5 * kWindowS * per_s + 5;
}

/// Most of the moments, in milliseconds and in order, that lie in one window of four seconds.
std::size_t most_in_window(const std::vector<long long>& moments) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < moments.size(); ++last) {
        while (moments[last] - moments[first] >= 4'000) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
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

TEST_CASE("a limit holds in every window, and is used up") {
    const double per_s = GENERATE(0.5, 1.0, 11.5, 100.0);
    CAPTURE(per_s);
    ServerRate rate;
    CHECK(rate.on_answer(at_ms(0), at_ms(0), rate_of(per_s)) == RateChange::kStarted);
    std::vector<long long> sent;
    // Calm until 20 s: what is saved up meanwhile must not be let go at once.
    for (long long ms = 0; ms < 60'000; ms += 2) {
        const auto now = at_ms(ms);
        if ((ms < 5'000 || ms > 20'000) && rate.may_send(now)) {
            rate.on_sent(now);
            sent.push_back(ms);
        }
    }
    CHECK(static_cast<double>(most_in_window(sent)) <= allowed_by(per_s));
    CHECK(static_cast<double>(sent.size()) >= 0.95 * per_s * 45);
}

TEST_CASE("a limit of nothing lets one request through now and then, to learn of its end") {
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

TEST_CASE("an answer without a limit ends it, unless it was overtaken by the one that named it") {
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

TEST_CASE("what callers report counts until the server has answered") {
    ServerRate rate;
    CHECK(rate.on_report(at_ms(0), rate_of(5)) == RateChange::kStarted);
    CHECK(rate.on_report(at_ms(1), rate_of(50)) == RateChange::kNone);
    CHECK(rate.on_answer(at_ms(100), at_ms(2), std::nullopt) == RateChange::kEnded);
    CHECK(rate.on_report(at_ms(101), rate_of(5)) == RateChange::kNone);
    CHECK(rate.may_send(at_ms(101)));
}

TEST_CASE("callers are kept away by a limit only while it is confirmed") {
    ServerRate rate;
    rate.on_answer(at_ms(0), at_ms(0), rate_of(20));
    CHECK(rate.concurrency(at_ms(500), milliseconds(200)) == 4U);
    CHECK_FALSE(rate.concurrency(at_ms(1'500), milliseconds(200)));
    rate.on_refused(at_ms(1'500));
    CHECK(rate.concurrency(at_ms(1'600), milliseconds(200)) == 4U);
}

TEST_CASE("a gate sends no more than its server's rate, the most important first") {
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

TEST_CASE("a call that isn't due by the rate while its caller waits is refused at once") {
    auto gate = limited_gate(16, 5);
    gate.arrive(at_ms(0), call(1, 0));
    CHECK(gate.arrive(at_ms(0), call(2, 0)).verdict == GateVerdict::kQueued);
    CHECK(gate.arrive(at_ms(0), call(3, 0)).verdict == GateVerdict::kQueued);
    const auto refused = gate.arrive(at_ms(0), call(4, 0));
    CHECK(refused.verdict == GateVerdict::kRefused);
    CHECK(refused.retry_after >= milliseconds(600));
}

TEST_CASE("a queue that a frozen daemon finds due doesn't go at once") {
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

TEST_CASE("the end of a limit lets the waiting calls run") {
    auto gate = limited_gate(16, 5);
    gate.arrive(at_ms(0), call(1, 0));
    gate.arrive(at_ms(0), call(2, 0));
    gate.rate().on_answer(at_ms(50), at_ms(10), std::nullopt);
    CHECK(gate.release(at_ms(50)) == std::vector<std::uint64_t>{2});
}
