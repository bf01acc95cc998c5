/** State of the limit of client requests by the retries that a declining service may still get
    (retry_capacity.hpp). Plain data. */
#pragma once

#include <map>
#include <string>

#include "protocol/time_types.hpp"
#include "retry/window_count.hpp"

namespace anisehold::overload
{

/** What a server's gate reported of it. */
struct ServerDecline
{
    double share = 0;     /**< Share of arrivals that the server declines whatever its load, from 0 to 1. */
    double latencyUs = 0; /**< Mean service time in microseconds; 0 if unknown. */
    TimePoint reported;
};

/** A service of which some server declines. */
struct DecliningService
{
    std::map<std::string, ServerDecline> servers; /**< By instance; all servers heard of meanwhile. */
    double loggedShare = 0;                       /**< Declined share at the last `RetryLimitChange`. */
};

/** The part of the bound on retries that the gates spend (retry/gate_budget.hpp). */
struct RetryCapacityTerms
{
    double ratio = 0.2;
    double usedShare = 0.85;
    milliseconds window{ 10'000 };
};

struct RetryCapacityState
{
    RetryCapacityTerms terms;
    TimePoint started;                                  /**< First request of this process. */
    std::map<std::string, DecliningService> services;   /**< Empty while no service declines. */
    std::map<std::string, retry::WindowCount> admitted; /**< Client requests admitted here, by row. */
    std::map<std::string, double> shares;               /**< Admitted share by row; absent: 1. */
    TimePoint updated;                                  /**< Time of `shares`. */
};

} // namespace anisehold::overload
