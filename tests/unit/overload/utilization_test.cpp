#include "overload/utilization.hpp"

#include <catch2/catch.hpp>

using namespace anisehold::overload;

TEST_CASE ("the utilization of a service is the mean over its slots", "[overload]")
{
    std::map<std::string, SlotCount> services;
    addServer (services, "deep", { 10, 50, 0 });
    addServer (services, "deep", { 30, 90, 0 });
    addServer (services, "other", { 4, 25, 0 });
    const auto utilizations = utilizationsOf (services);
    CHECK (utilizations.at ("deep") == Approx (0.8));
    CHECK (utilizations.at ("other") == Approx (0.25));
}

TEST_CASE ("slots of a failing server don't count as capacity", "[overload]")
{
    std::map<std::string, SlotCount> services;
    addServer (services, "deep", { 10, 80, 0 });
    addServer (services, "deep", { 10, 0, 100 });
    addServer (services, "gone", { 10, 80, 100 });
    const auto utilizations = utilizationsOf (services);
    CHECK (utilizations.at ("deep") == Approx (0.8));
    CHECK (utilizations.at ("gone") == 0);
}
