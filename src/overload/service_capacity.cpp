#include "overload/service_capacity.hpp"

#include <algorithm>

#include "overload/utilization.hpp"

namespace anisehold::overload
{
namespace
{

constexpr double msPerSecond = 1'000;
constexpr double shareOfPercent = 0.01;
/** Bounds of a server's speed relative to the mean: a mean over few samples must not dominate the sum. */
constexpr double minSpeed = 0.25;
constexpr double maxSpeed = 4;
/** Speed of a server that was recently started, as server selection assumes. */
constexpr double coldSpeed = 0.5;
/** Bounds of the stated present duration, in percent. */
constexpr unsigned minSlowPercent = 10;
constexpr unsigned maxSlowPercent = 1'000;

/** Sum of the known service times of a service. */
struct Latencies
{
    double sum = 0;
    unsigned servers = 0;
};

std::map<std::string, Latencies> latenciesOf (const std::vector<ServerSupply>& servers)
{
    std::map<std::string, Latencies> latencies;

    for (const auto& it : servers)
    {
        if (it.latencyUs == 0)
            continue;

        auto& service = latencies[it.service];
        service.sum += it.latencyUs;
        ++service.servers;
    }

    return latencies;
}

/** Returns the speed of a server relative to the mean of its service. */
double speedOf (const ServerSupply& server, const Latencies& service)
{
    const double mean = service.servers > 0 ? service.sum / service.servers : 0;
    const double usual =
        server.latencyUs > 0 && mean > 0 ? std::clamp (mean / server.latencyUs, minSpeed, maxSpeed) : 1.0;
    const auto slowPercent = std::clamp (server.slowPercent, minSlowPercent, maxSlowPercent);
    return usual / (shareOfPercent * slowPercent) * (server.isCold ? coldSpeed : 1.0);
}

} // namespace

Capacities capacitiesOf (const std::vector<ServerSupply>& servers)
{
    Capacities capacities;
    std::map<std::string, SlotCount> slots;
    const auto latencies = latenciesOf (servers);

    for (const auto& it : servers)
    {
        auto& capacity = capacities[it.service];

        if (! it.isReachable)
            continue;

        const auto known = latencies.find (it.service);
        const double speed = speedOf (it, known == latencies.end() ? Latencies{} : known->second);
        const double healthy = 1 - shareOfPercent * std::min (it.failedPercent, 100U);
        const double ms = it.limit * msPerSecond * speed * healthy;
        capacity.msPerSecond += ms;
        addServer (slots, it.service, { it.limit, it.busyPercent, it.failedPercent });
        capacity.declinedShare += ms * shareOfPercent * std::min (it.declinedPercent, 100U);
        ++capacity.servers;
    }

    for (const auto& [name, utilization] : utilizationsOf (slots))
        capacities[name].utilization = utilization;

    for (auto& [name, it] : capacities)
        it.declinedShare = it.msPerSecond > 0 ? it.declinedShare / it.msPerSecond : 0;

    return capacities;
}

} // namespace anisehold::overload
