#include "routing/weighted_split.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace anisehold::routing;

namespace {

HostRoute split_route(std::vector<WeightedService> parts) {
    HostRoute route;
    route.name = "split";
    route.parts = std::move(parts);
    return route;
}

std::map<std::string, int> draw(WeightedSplit& split, const HostRoute& route, int count, double first) {
    std::map<std::string, int> drawn;
    for (int index = 0; index < count; ++index) {
        ++drawn[split.next(route, first)];
    }
    return drawn;
}

}  // namespace

TEST_CASE("every part gets its share of a whole cycle") {
    WeightedSplit split;
    const auto drawn = draw(split, split_route({{"a", 90}, {"b", 10}}), 100, 0.5);
    CHECK(drawn.at("a") == 90);
    CHECK(drawn.at("b") == 10);
}

TEST_CASE("many daemons with few requests each keep the overall shares") {
    std::mt19937 random(7);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    const auto route = split_route({{"a", 75}, {"b", 25}});
    int to_b = 0;
    constexpr int daemons = 200;
    constexpr int requests = 3;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        WeightedSplit split;
        to_b += draw(split, route, requests, unit(random))["b"];
    }
    const double share = static_cast<double>(to_b) / (daemons * requests);
    CHECK(share == Approx(0.25).margin(0.06));
}

TEST_CASE("changed weights apply at once") {
    WeightedSplit split;
    draw(split, split_route({{"a", 1}, {"b", 1}}), 10, 0.5);
    const auto drawn = draw(split, split_route({{"a", 1}, {"b", 0}}), 10, 0.5);
    CHECK(drawn.count("b") == 0);
}

TEST_CASE("a route whose parts have no weight has no service") {
    WeightedSplit split;
    CHECK(split.next(split_route({{"a", 0}}), 0.5).empty());
    CHECK(split.next(split_route({}), 0.5).empty());
}
