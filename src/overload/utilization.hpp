/** The utilization of a service: the mean share of busy slots over its servers, as reported by their gates.

    Inputs are each known server's limit, its share of busy slots and its share of failures. Slots of a
    failing server are not usable capacity, so a server's slots count in proportion to its successful
    requests. Owns no state. Relies on a caller that adds each server once. Pure.
*/
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace anisehold::overload
{

/** Mean share of busy slots of each service, from 0 to 1. */
using Utilizations = std::map<std::string, double>;

/** Load of one server as reported by its gate. */
struct ServerUtilization
{
    unsigned limit = 0;         /**< Maximum requests in flight. */
    unsigned busyPercent = 0;   /**< Mean of the requests in flight, in percent of `limit`. */
    unsigned failedPercent = 0; /**< Share of failed requests, in percent. */
};

/** Slots of one service, summed over its servers. */
struct SlotCount
{
    double busy = 0;
    double total = 0;
};

inline void addServer (std::map<std::string, SlotCount>& services, const std::string& service,
                       const ServerUtilization& server)
{
    constexpr double shareOfPercent = 0.01;
    const double healthyShare = shareOfPercent * (100.0 - std::min (server.failedPercent, 100U));
    auto& slots = services[service];
    slots.busy += healthyShare * shareOfPercent * server.busyPercent * server.limit;
    slots.total += healthyShare * server.limit;
}

inline Utilizations utilizationsOf (const std::map<std::string, SlotCount>& services)
{
    Utilizations utilizations;

    for (const auto& [service, slots] : services)
        utilizations[service] = slots.total > 0 ? slots.busy / slots.total : 0;

    return utilizations;
}

} // namespace anisehold::overload
