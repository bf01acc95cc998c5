/** The utilization of a service: the mean share of its servers' slots that is taken, as their gates report
   it.

    Inputs: each known server's limit, the share of it that is busy, and its share of failures. Slots of a
   server that fails are no capacity, so they count by the part of its requests that it answers. Relies on a
   caller that adds each server once. Pure.
*/
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace anisehold::overload
{

/** Mean share of each service's slots that is taken, from 0 to 1. */
using Utilizations = std::map<std::string, double>;

/** What one server's gate reports of it. */
struct ServerUtilization
{
    unsigned limit = 0;         /**< Most requests in flight. */
    unsigned busyPercent = 0;   /**< Mean of the requests in flight, of `limit`. */
    unsigned failedPercent = 0; /**< Of its requests. */
};

/** Slots of one service, over all servers that were added. */
struct SlotCount
{
    double busy = 0;
    double total = 0;
};

inline void addServer (std::map<std::string, SlotCount>& services, const std::string& service,
                       const ServerUtilization& server)
{
    constexpr double shareOfPercent = 0.01;
    const double sound = shareOfPercent * (100.0 - std::min (server.failedPercent, 100U));
    auto& slots = services[service];
    slots.busy += sound * shareOfPercent * server.busyPercent * server.limit;
    slots.total += sound * server.limit;
}

inline Utilizations utilizationsOf (const std::map<std::string, SlotCount>& services)
{
    Utilizations utilizations;

    for (const auto& [service, slots] : services)
        utilizations[service] = slots.total > 0 ? slots.busy / slots.total : 0;

    return utilizations;
}

} // namespace anisehold::overload
