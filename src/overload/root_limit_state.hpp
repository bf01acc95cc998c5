/** What one daemon keeps for the limit of root requests (root_limit.hpp). Plain state: row_reach,
    pressure_report, admitted_share and root_limit change it, each its own part. */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "overload/service_pressure.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** A row as the limit sees it. */
struct RootRow
{
    std::string name;
    unsigned priority = 0; /**< 0 is the most important. */
};

/** The counts of one daemon for one service, as of its last two reports. */
struct ReportedCounts
{
    std::uint32_t ended = 0;
    std::uint32_t refused = 0;
    std::uint32_t endedBefore = 0;
    std::uint32_t refusedBefore = 0;
    double admittedShare = 1;
    TimePoint reported;
};

/** Failures of one row's requests while a service refused calls of the machine that ran them. Older ones
    count less. */
struct ReachEvidence
{
    double failures = 0;
    TimePoint updated;
};

/** What is known of one service. */
struct ServiceState
{
    // pressure_report
    std::uint32_t ended = 0; /**< Of this daemon's calls, since its start. */
    std::uint32_t refused = 0;
    bool isRefusing = false; /**< Calls were refused since the last period began, here or at peers. */
    std::map<std::string, ReportedCounts> reports; /**< By daemon, this one included. */
    std::vector<RowWork> ownRowWork;     /**< Reported to peers: of rows that run at this daemon's server. */
    std::map<std::string, double> works; /**< By row: mean of what all daemons report, in ms of slots. */

    // admitted_share
    double admittedShare = 1;         /**< Of the volume of its rows. */
    double measuredAdmittedShare = 1; /**< Moving mean of it: what is measured now was admitted by this. */
    unsigned cleanPeriods = 0;        /**< In a row, without refusals. */

    // row_reach
    std::set<std::string> rows;                    /**< Those whose requests reach it. */
    std::map<std::string, ReachEvidence> evidence; /**< By row, of those that may. */
};

/** Requests offered of one row; older ones count less. */
struct RowVolume
{
    unsigned priority = 0;
    double offered = 0;
    TimePoint updated;

    // rows_under_way
    unsigned inFlight = 0; /**< Admitted by this daemon, and not ended. */
    Duration meanTime{};   /**< Moving mean of the time that admitted ones take; 0 while none has ended. */
};

/** All that one daemon keeps for the limit. */
struct RootLimitState
{
    std::string ownName;
    Duration period = seconds (1); /**< Between two reports of a daemon in calm times. */
    TimePoint periodEnded;         /**< The last one. */
    std::map<std::string, ServiceState> services;
    std::map<std::string, RowVolume> rows;
};

} // namespace anisehold::overload
