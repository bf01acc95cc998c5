#include "overload/service_capacity.hpp"

#include <catch2/catch.hpp>

using namespace anisehold::overload;

namespace
{

ServerSupply server (unsigned limit, unsigned latencyUs)
{
    ServerSupply supply;
    supply.service = "pricing";
    supply.limit = limit;
    supply.latencyUs = latencyUs;
    return supply;
}

double capacityOf (const std::vector<ServerSupply>& servers)
{
    return capacitiesOf (servers).at ("pricing").msPerSecond;
}

} // namespace

TEST_CASE ("a server counts by its speed relative to the mean server of its service")
{
    // Guards against work in slot time of one server that is compared with slots of another. Three servers of
    // speed 0.7 and one of 1.6 run 65 slots each, requests of 10 ms at speed 1.
    std::vector<ServerSupply> servers (3, server (65, 14'286));
    servers.push_back (server (65, 6'250));
    const double meanMs = (3 * 14.286 + 6.25) / 4;
    const double requestsPerSecond = 65'000 * (3 / 14.286 + 1 / 6.25);
    CHECK (capacityOf (servers) / meanMs == Approx (requestsPerSecond).epsilon (0.001));
}

TEST_CASE ("a server whose service time is unknown counts as a mean one, and an extreme one is bounded")
{
    CHECK (capacityOf ({ server (10, 0) }) == Approx (10'000));
    CHECK (capacityOf ({ server (10, 0), server (10, 20'000) }) == Approx (20'000));
    CHECK (capacityOf ({ server (10, 1), server (10, 20'000) }) ==
           Approx (10'000 * 4 + 10'000 * 0.5).epsilon (0.01));
}

TEST_CASE ("failing, cold and slow servers count less")
{
    auto failing = server (10, 0);
    failing.failedPercent = 25;
    CHECK (capacityOf ({ failing }) == Approx (7'500));
    failing.failedPercent = 1'000;
    CHECK (capacityOf ({ failing }) == 0);
    auto cold = server (10, 0);
    cold.isCold = true;
    CHECK (capacityOf ({ cold }) == Approx (5'000));
    auto slow = server (10, 0);
    slow.slowPercent = 250;
    CHECK (capacityOf ({ slow }) == Approx (4'000));
    slow.slowPercent = 0; // Malformed.
    CHECK (capacityOf ({ slow }) == Approx (100'000));
}

TEST_CASE ("a partition leaves out servers but keeps the unit")
{
    // Guards against an estimate of work that changes its meaning when the slow servers are cut off.
    auto slow = server (65, 15'000);
    const auto quick = server (65, 5'000);
    const double whole = capacityOf ({ slow, quick });
    slow.isReachable = false;
    CHECK (capacityOf ({ slow, quick }) == Approx (65'000 * 2));
    CHECK (whole - capacityOf ({ slow, quick }) == Approx (65'000 * 10 / 15.0));
    CHECK (capacitiesOf ({ slow, quick }).at ("pricing").servers == 1);
    CHECK (capacityOf ({ slow }) == 0);
}

TEST_CASE ("the utilization and the declined share are those of the reachable servers")
{
    auto busy = server (30, 0);
    busy.busyPercent = 90;
    busy.declinedPercent = 50;
    auto idle = server (10, 0);
    idle.busyPercent = 10;
    auto away = server (100, 0);
    away.busyPercent = 100;
    away.isReachable = false;
    const auto capacity = capacitiesOf ({ busy, idle, away }).at ("pricing");
    CHECK (capacity.utilization == Approx (0.7));
    CHECK (capacity.declinedShare == Approx (0.375));
}
