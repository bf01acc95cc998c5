#include "retry/gate_budget.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace anisehold;
using namespace anisehold::retry;

namespace {

/// A gate with one first arrival per millisecond.
struct BusyGate {
    explicit BusyGate(GateBudgetTerms budget_terms = {}) : terms(budget_terms), budget(terms, now) {}

    /// Advances the time; `asked` retries of each rank are asked for per second. Returns the granted ones.
    std::map<unsigned, unsigned> run(Duration time, const std::map<unsigned, double>& asked,
                                     double inherited = 0) {
        constexpr double per_ms = 0.001;
        std::map<unsigned, unsigned> granted;
        std::uniform_real_distribution<double> unit(0, 1);
        for (const auto end = now + time; now < end; now += milliseconds(1)) {
            budget.on_first_arrival(now, inherited);
            for (const auto& [priority, per_second] : asked) {
                if (unit(random) < per_second * per_ms && budget.try_retry(now, {priority, 0})) {
                    ++granted[priority];
                }
            }
        }
        return granted;
    }

    TimePoint now = TimePoint() + seconds(1'000);
    GateBudgetTerms terms;
    GateBudget budget;
    std::mt19937 random{1};
};

}  // namespace

TEST_CASE("a gate grants 0.85 of the ratio, however many retries are asked for") {
    BusyGate gate;
    gate.run(seconds(30), {});
    const auto granted = gate.run(seconds(10), {{0, 900.0}});
    CHECK(granted.at(0) <= 1'750);
    CHECK(granted.at(0) >= 1'600);
}

TEST_CASE("an urgent rank gets the retries that it asks for, and a less urgent one the rest") {
    BusyGate gate;
    gate.run(seconds(30), {});
    auto granted = gate.run(seconds(5), {{0, 100.0}, {2, 900.0}});
    CHECK(granted[0] >= 480);
    CHECK(granted[2] >= 250);
    granted = gate.run(seconds(5), {{0, 900.0}, {2, 900.0}});
    CHECK(granted[2] <= 0.05 * granted[0]);
}

TEST_CASE("no retries are kept for a rank that no longer asks for them") {
    BusyGate gate;
    gate.run(seconds(30), {});
    gate.run(seconds(2), {{0, 900.0}});
    gate.run(seconds(2), {{2, 900.0}});
    const auto granted = gate.run(seconds(1), {{2, 900.0}});
    CHECK(granted.at(2) >= 150);
}

TEST_CASE("a call of a parent that has made more calls takes precedence within its priority") {
    BusyGate gate;
    gate.run(seconds(30), {});
    unsigned early = 0;
    unsigned late = 0;
    for (int step = 0; step < 5'000; ++step, gate.now += milliseconds(1)) {
        gate.budget.on_first_arrival(gate.now, 0);
        early += gate.budget.try_retry(gate.now, {1, 0}) ? 1 : 0;
        late += gate.budget.try_retry(gate.now, {1, 6}) ? 1 : 0;
    }
    CHECK(late > 10 * early);
}

TEST_CASE("calls of runs that are retries use up the budget and are not refused") {
    BusyGate gate;
    gate.run(seconds(30), {});
    const auto granted = gate.run(seconds(10), {{0, 900.0}}, 0.1);
    // The bound counts the window before, with 10,000 first arrivals: 0.85 * 0.2 * 10,000 retries, less the
    // 1,000 arrivals of retried runs. Those of one slice arrive after the last grant.
    CHECK(granted.at(0) <= 700 + 10);
    CHECK(granted.at(0) >= 500);
}

TEST_CASE("a new process has no extra, and a quarter of its earnings, in its first window") {
    BusyGate gate({0.2, 400});
    const auto granted = gate.run(seconds(9), {{0, 900.0}});
    CHECK(granted.at(0) <= 0.25 * 0.17 * 9'000 + 2);
    CHECK(granted.at(0) >= 300);
}

TEST_CASE("a gate uses only its share of the extra") {
    GateBudgetTerms terms;
    terms.ratio = 0;
    terms.extra = 400;
    BusyGate gate(terms);
    gate.budget.on_servers(gate.now, 4, 1);
    gate.run(seconds(11), {});
    CHECK(gate.run(seconds(5), {{0, 900.0}}).at(0) <= 85);
    // A partition hides two of the servers, which still spend their shares.
    gate.budget.on_servers(gate.now, 2, 2);
    CHECK(gate.run(seconds(4), {{0, 900.0}}).empty());
}

TEST_CASE("retries that were granted for arrivals of an earlier window stay within the windows to come") {
    BusyGate gate;
    gate.run(seconds(30), {});
    const auto fell = gate.now;
    unsigned granted = 0;
    // First arrivals end; the retries of any window of 10 s must stay within the bound of its end.
    for (; gate.now < fell + seconds(18); gate.now += milliseconds(1)) {
        const bool asks = gate.now >= fell + seconds(10);
        granted += asks && gate.budget.try_retry(gate.now, {0, 0}) ? 1 : 0;
    }
    // At 18 s the bound counts the 2 s of arrivals that are left in the previous window, and the retries of
    // the 8 s before count.
    CHECK(granted <= 0.2 * 2'000);
}
