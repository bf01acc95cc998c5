#include "routing/server_selector.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace anisehold;
using namespace anisehold::routing;
using membership::KnownServer;

namespace {

KnownServer server(const std::string& instance, const std::string& zone, unsigned in_flight,
                   unsigned latency_us = 100'000) {
    KnownServer known;
    known.server.instance = instance;
    known.server.limit = 10;
    known.server.in_flight = in_flight;
    known.server.latency_us = latency_us;
    known.zone = zone;
    return known;
}

struct Fixture {
    std::mt19937 random{11};
    ServerSelector selector{"here",
                            [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }};
    TimePoint now{};
};

}  // namespace

TEST_CASE("a server that was tried is not chosen again") {
    Fixture fixture;
    const std::vector<KnownServer> servers{server("a", "here", 0), server("b", "here", 9)};
    CHECK(fixture.selector.choose(fixture.now, servers, {"a"})->server.instance == "b");
    CHECK_FALSE(fixture.selector.choose(fixture.now, servers, {"a", "b"}));
    CHECK_FALSE(fixture.selector.choose(fixture.now, {}, {}));
}

TEST_CASE("of two servers the less loaded one is chosen") {
    Fixture fixture;
    const std::vector<KnownServer> servers{server("busy", "here", 9), server("free", "here", 0)};
    for (int draw = 0; draw < 50; ++draw) {
        CHECK(fixture.selector.choose(fixture.now, servers, {})->server.instance == "free");
    }
}

TEST_CASE("own zone, speed, warmth and own requests under way count") {
    Fixture fixture;
    const auto cost = [&](const KnownServer& known) { return fixture.selector.cost_of(fixture.now, known); };
    const auto plain = server("a", "here", 1);
    CHECK(cost(plain) < cost(server("b", "there", 1)));
    CHECK(cost(plain) < cost(server("b", "here", 1, 200'000)));
    auto cold = server("b", "here", 1);
    cold.server.cold_ms = 1'000;
    CHECK(cost(plain) < cost(cold));
    cold.age = seconds(2);
    CHECK(cost(plain) == Approx(cost(cold)));
    const double before = cost(plain);
    for (int sent = 0; sent < 5; ++sent) {
        fixture.selector.on_sent("a");
    }
    CHECK(cost(plain) > before);
}

TEST_CASE("failures make a server dear, and fade") {
    Fixture fixture;
    const auto known = server("a", "here", 0);
    const double before = fixture.selector.cost_of(fixture.now, known);
    fixture.selector.on_sent("a");
    fixture.selector.on_ended(fixture.now, "a", true);
    CHECK(fixture.selector.cost_of(fixture.now, known) > 5 * before);
    CHECK(fixture.selector.cost_of(fixture.now + seconds(60), known) == Approx(before));
}

TEST_CASE("a server that fails always is still chosen when it is the only one") {
    Fixture fixture;
    const std::vector<KnownServer> servers{server("a", "here", 0)};
    fixture.selector.on_ended(fixture.now, "a", true);
    CHECK(fixture.selector.choose(fixture.now, servers, {}));
}
