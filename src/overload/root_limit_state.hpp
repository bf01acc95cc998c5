/** State of one daemon for the limit of root requests (root_limit.hpp). Plain data: row_reach,
    pressure_report, admitted_share, root_limit and rows_under_way each update their own part. */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "overload/capacity_limit.hpp"
#include "overload/forecast_state.hpp"
#include "overload/retry_capacity_state.hpp"
#include "overload/service_pressure.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** The properties of a row that the limit uses. */
struct RootRow
{
    std::string name;
    unsigned priority = 0; /**< 0 is the most important. */
};

/** The counts of one daemon for one service, from its last two reports. */
struct ReportedCounts
{
    std::uint32_t ended = 0;
    std::uint32_t refused = 0;
    std::uint32_t endedBefore = 0;
    std::uint32_t refusedBefore = 0;
    double admittedShare = 1;
    TimePoint reported;
};

/** Failures of a row's requests while a service refused calls of the machine that ran them, decayed
    exponentially. */
struct ReachEvidence
{
    double failures = 0;
    TimePoint updated;
};

/** State of one service. */
struct ServiceState
{
    // pressure_report
    std::uint32_t ended = 0; /**< Finished calls of this daemon since its start. */
    std::uint32_t refused = 0;
    bool isRefusing = false; /**< Calls were refused since the start of the last period, here or at peers. */
    std::map<std::string, ReportedCounts> reports; /**< By daemon, including this one. */
    std::vector<RowWork> ownRowWork;               /**< Work of the local server's rows, reported to peers. */
    std::map<std::string, double>
        works; /**< Mean work by row over all daemons' reports, in ms of slot time. */

    // admitted_share
    double admittedShare = 1;         /**< Share of the volume of the service's rows. */
    double measuredAdmittedShare = 1; /**< Moving mean of `admittedShare`; matches the measurements. */
    unsigned cleanPeriods = 0;        /**< Consecutive periods without refusals. */

    // root_limit
    std::map<std::string, RowShares> limitShares; /**< By resource, of the CapacityLimits in force. */

    // row_reach
    std::set<std::string> rows;                    /**< Rows whose requests reach the service. */
    std::map<std::string, ReachEvidence> evidence; /**< By row, for rows that may reach the service. */
};

/** Requests offered of one row, decayed exponentially. */
struct RowVolume
{
    unsigned priority = 0;
    double offered = 0;
    TimePoint updated;

    // rows_under_way
    unsigned inFlight = 0; /**< Requests admitted by this daemon that have not ended. */
    Duration meanTime{};   /**< Moving mean of the duration of admitted requests; 0 until one has ended. */
};

/** One daemon's state for the limit. */
struct RootLimitState
{
    std::string ownName;
    Duration period = seconds (1); /**< Time between two reports of a daemon in calm times. */
    TimePoint periodEnded;         /**< End of the last period. */
    std::map<std::string, ServiceState> services;
    std::map<std::string, RowVolume> rows;
    RetryCapacityState retryCapacity; /**< Updated by retry_capacity. */
    ForecastState forecast;           /**< Owned by capacity_forecast. */
};

} // namespace anisehold::overload
