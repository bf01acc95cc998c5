/** The capacity of each service, in ms of slot time per second, from the records of its servers.

    The servers of one service differ in speed, in a recorded deployment from 0.7 to 1.6 times the usual, and
    each daemon measures the work of a row in slot time of its own server. Estimates are means over the
    servers, so capacity is counted in the slot time of a mean server: a server with twice the mean service
    time counts half per slot. The mean includes servers that can't be reached at present, as the estimates
    do, so that a network partition doesn't change the unit. Owns no state. Pure.
*/
#pragma once

#include <map>
#include <string>
#include <vector>

namespace anisehold::overload
{

/** A server as reported by its gate. */
struct ServerSupply
{
    std::string service;
    unsigned limit = 0;           /**< Maximum requests in flight. */
    unsigned busyPercent = 0;     /**< Mean of the requests in flight, in percent of `limit`. */
    unsigned latencyUs = 0;       /**< Mean service time; 0 if unknown. */
    unsigned failedPercent = 0;   /**< Share of failed requests. */
    unsigned declinedPercent = 0; /**< Share of arrivals that the server declines at any load. */
    unsigned slowPercent = 100;   /**< Present duration of work, in percent of the usual one. */
    bool isCold = false;          /**< Recently started. */
    bool isReachable = true;
};

/** Capacity of one service. */
struct ServiceCapacity
{
    double msPerSecond = 0;   /**< Slot time of a mean server, over the reachable servers. */
    double utilization = 0;   /**< Mean share of busy slots, over the same servers. */
    double declinedShare = 0; /**< Part of the capacity that servers decline at any load. */
    unsigned servers = 0;     /**< Reachable servers. */
};

/** By service. */
using Capacities = std::map<std::string, ServiceCapacity>;

/** Returns the capacity of every service among the servers. */
Capacities capacitiesOf (const std::vector<ServerSupply>& servers);

} // namespace anisehold::overload
