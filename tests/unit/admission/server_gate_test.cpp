#include "admission/server_gate.hpp"

#include <catch2/catch.hpp>

#include "admission/policy/fixed_limit.hpp"

using namespace anisehold;
using namespace anisehold::admission;

namespace {

TimePoint at_ms(long long ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

ServerGate gate_of(unsigned limit, GateOptions options = {}) {
    return {std::make_unique<FixedLimit>(limit), options};
}

GateCall call(std::uint64_t id, unsigned priority, const std::string& row = "row") {
    GateCall result;
    result.id = id;
    result.priority = priority;
    result.row = row;
    result.root_started = at_ms(0);
    result.deadline = at_ms(100'000);
    return result;
}

}  // namespace

TEST_CASE("a gate admits up to its limit and queues the rest") {
    auto gate = gate_of(2);
    CHECK(gate.arrive(at_ms(0), call(1, 5)).verdict == GateVerdict::kAdmitted);
    CHECK(gate.arrive(at_ms(0), call(2, 5)).verdict == GateVerdict::kAdmitted);
    CHECK(gate.arrive(at_ms(0), call(3, 5)).verdict == GateVerdict::kQueued);
    CHECK(gate.load().in_flight == 2);
    CHECK(gate.finish(at_ms(10), 1, SampleOutcome::kCompleted, {}) == std::vector<std::uint64_t>{3});
    CHECK(gate.load().in_flight == 2);
    CHECK(gate.finish(at_ms(10), 99, SampleOutcome::kCompleted, {}).empty());
}

TEST_CASE("calls leave the queue by priority, then root in progress, then oldest root") {
    auto gate = gate_of(1);
    gate.arrive(at_ms(0), call(1, 5));
    auto young = call(2, 3);
    young.root_started = at_ms(50);
    auto old = call(3, 3);
    auto in_progress = call(4, 3);
    in_progress.root_in_progress = true;
    in_progress.root_started = at_ms(60);
    gate.arrive(at_ms(1), call(5, 8));
    gate.arrive(at_ms(1), young);
    gate.arrive(at_ms(1), old);
    gate.arrive(at_ms(1), in_progress);
    gate.arrive(at_ms(1), call(6, 0));
    std::vector<std::uint64_t> order;
    std::uint64_t running = 1;
    for (int step = 0; step < 5; ++step) {
        const auto next = gate.finish(at_ms(10), running, SampleOutcome::kCompleted, {});
        REQUIRE(next.size() == 1);
        running = next.front();
        order.push_back(running);
    }
    CHECK(order == std::vector<std::uint64_t>{6, 4, 3, 2, 5});
}

namespace {

/// Lets the calls queue behind a running one, and returns the order in which they start.
std::vector<std::uint64_t> start_order(const std::vector<GateCall>& calls) {
    auto gate = gate_of(1);
    gate.arrive(at_ms(0), call(1, 5));
    for (const auto& each : calls) {
        gate.arrive(at_ms(1), each);
    }
    std::vector<std::uint64_t> order;
    std::uint64_t running = 1;
    for (std::size_t step = 0; step < calls.size(); ++step) {
        const auto next = gate.finish(at_ms(10), running, SampleOutcome::kCompleted, {});
        running = next.empty() ? 0 : next.front();
        order.push_back(running);
    }
    return order;
}

GateCall call_of_root(std::uint64_t id, std::optional<unsigned> root_priority, unsigned made) {
    auto result = call(id, 0);
    result.root_priority = root_priority;
    result.calls_made = made;
    result.root_started = at_ms(static_cast<long long>(id));
    return result;
}

}  // namespace

TEST_CASE("calls leave the queue by the rank of their root, among them clients' requests") {
    // Calls made by servers carry no tenant, so that by their own low number they overtook all requests of
    // clients.
    auto client = call(5, 17);
    client.root_started = at_ms(0);
    CHECK(start_order({call_of_root(2, 18, 3), call_of_root(3, 16, 0), client, call_of_root(4, 17, 0)}) ==
          std::vector<std::uint64_t>{3, 5, 4, 2});
}

TEST_CASE("of calls of equally important roots, those of the parent that has made more calls come first") {
    // Guards against chains that are abandoned after most of their work.
    CHECK(start_order({call_of_root(2, 17, 0), call_of_root(3, 17, 2), call_of_root(4, 17, 3),
                       call_of_root(5, 17, 2)}) == std::vector<std::uint64_t>{4, 3, 5, 2});
}

TEST_CASE("calls of unknown root are ordered as without roots") {
    auto old = call(2, 3);
    old.root_started = at_ms(-50);
    CHECK(start_order({call(4, 3), call(3, 8), old, call(5, 0)}) == std::vector<std::uint64_t>{5, 2, 4, 3});
}

TEST_CASE("rows of equal priority share by weight") {
    auto gate = gate_of(1);
    gate.arrive(at_ms(0), call(1, 5, "other"));
    for (std::uint64_t id = 10; id < 18; ++id) {
        auto heavy = call(id, 5, "heavy");
        heavy.row_weight = 3;
        auto light = call(id + 100, 5, "light");
        gate.arrive(at_ms(1), light);
        gate.arrive(at_ms(1), heavy);
    }
    unsigned heavy_runs = 0;
    std::uint64_t running = 1;
    for (int step = 0; step < 8; ++step) {
        running = gate.finish(at_ms(10), running, SampleOutcome::kCompleted, {}).front();
        heavy_runs += running < 100 ? 1 : 0;
    }
    CHECK(heavy_runs >= 5);
    CHECK(heavy_runs <= 7);
}

TEST_CASE("a full queue refuses the least important call or evicts it for a more important one") {
    auto gate = gate_of(1);
    gate.arrive(at_ms(0), call(1, 5));
    std::uint64_t id = 2;
    while (gate.arrive(at_ms(0), call(id, 7)).verdict == GateVerdict::kQueued) {
        ++id;
    }
    CHECK(gate.admitted_priority() == 7);
    const auto decision = gate.arrive(at_ms(0), call(1'000, 0));
    CHECK(decision.verdict == GateVerdict::kQueued);
    REQUIRE(decision.evicted);
    CHECK(gate.finish(at_ms(1), 1, SampleOutcome::kCompleted, {}) == std::vector<std::uint64_t>{1'000});
}

TEST_CASE("a call that would not be served in its remaining time is refused at once") {
    auto gate = gate_of(1);
    gate.arrive(at_ms(0), call(1, 5));
    gate.finish(at_ms(100), 1, SampleOutcome::kCompleted, {});
    gate.arrive(at_ms(100), call(2, 5));
    auto hurried = call(3, 0);
    hurried.deadline = at_ms(150);
    const auto decision = gate.arrive(at_ms(100), hurried);
    CHECK(decision.verdict == GateVerdict::kRefused);
    CHECK(decision.retry_after >= milliseconds(100));
}

TEST_CASE("the limit of a row doesn't hold back other rows") {
    auto gate = gate_of(4);
    auto limited = call(1, 5, "limited");
    limited.row_limit = 1;
    CHECK(gate.arrive(at_ms(0), limited).verdict == GateVerdict::kAdmitted);
    limited.id = 2;
    CHECK(gate.arrive(at_ms(0), limited).verdict == GateVerdict::kQueued);
    CHECK(gate.arrive(at_ms(0), call(3, 9, "free")).verdict == GateVerdict::kAdmitted);
    CHECK(gate.finish(at_ms(5), 3, SampleOutcome::kCompleted, {}).empty());
    CHECK(gate.finish(at_ms(5), 1, SampleOutcome::kCompleted, {}) == std::vector<std::uint64_t>{2});
}

TEST_CASE("an abandoned call leaves the queue") {
    auto gate = gate_of(1);
    gate.arrive(at_ms(0), call(1, 5));
    gate.arrive(at_ms(0), call(2, 5));
    gate.abandon(2);
    CHECK(gate.load().queued == 0);
    CHECK(gate.finish(at_ms(5), 1, SampleOutcome::kCompleted, {}).empty());
}
