#include "admission/origin_estimator.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace anisehold;
using namespace anisehold::admission;

namespace {

const TimePoint kStart = TimePoint() + seconds(100);

/// Simulates a server that is idle for part of the time and makes calls while busy.
void simulate(OriginEstimator& estimator, double idle_share, int steps) {
    std::mt19937 random(3);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    TimePoint now = kStart;
    for (int step = 0; step < steps; ++step) {
        const bool busy = unit(random) >= idle_share;
        estimator.on_server(now, busy);
        now += milliseconds(10);
        if (unit(random) < 0.2) {
            estimator.on_request(now, "client");
        }
        if (busy && unit(random) < 0.5) {
            estimator.on_request(now, "nested");
        }
        now += milliseconds(10);
    }
}

}  // namespace

TEST_CASE("client routes are distinguished from server routes") {
    OriginEstimator estimator;
    simulate(estimator, 0.05, 1'000);
    CHECK(estimator.is_called_by_clients("client"));
    CHECK_FALSE(estimator.is_called_by_clients("nested"));
    CHECK(estimator.own_verdicts() == std::vector<std::string>{"client"});
}

TEST_CASE("no verdict is given without idle time") {
    OriginEstimator estimator;
    simulate(estimator, 0.0, 1'000);
    CHECK_FALSE(estimator.is_called_by_clients("client"));
    CHECK(estimator.own_verdicts().empty());
}

TEST_CASE("a few calls for an abandoned request don't make a route a client route") {
    OriginEstimator estimator;
    simulate(estimator, 0.3, 1'000);
    estimator.on_server(kStart + seconds(60), false);
    for (int call = 0; call < 3; ++call) {
        estimator.on_request(kStart + seconds(60), "nested");
    }
    CHECK_FALSE(estimator.is_called_by_clients("nested"));
}

TEST_CASE("a peer's verdict is adopted") {
    OriginEstimator estimator;
    CHECK_FALSE(estimator.is_called_by_clients("r"));
    estimator.on_peer_verdict({"r"});
    CHECK(estimator.is_called_by_clients("r"));
    CHECK(estimator.own_verdicts().empty());
}
