/** Early refusal of clients' requests while a service that they reach, at any depth, has no room.

    A request whose calls are refused further down has cost work and gives nothing. So the fleet limits what
   it lets in at the edge. Each daemon counts how its calls to each service end, and tells its peers; all sum
   the counts of the last period, so that the verdict rests on the whole fleet's calls and not on a few of one
    daemon. While calls are refused, the share of the volume that is let in falls by what is refused; without
    refusals it rises, slowly at first. Who gets the room that is left is decided by `shareCapacity`.

    Plain state and free functions over it. Pure.
*/
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "overload/service_pressure.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** Share of a limited service's places that should be taken. Measured on 15 days of one deployment: 0.96 gave
   a worth of 0.525, 0.9 gave 0.519; waiting calls counted as use besides gave 0.04 less (docs/measurements).
 */
inline constexpr double targetUtilization = 0.96;

/** A route as the limit sees it. */
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
    double level = 1;
    TimePoint reported;
};

/** Failures of one route's requests while a service refused calls of the machine that ran them. Older ones
   count less. */
struct ReachEvidence
{
    double failures = 0;
    TimePoint updated;
};

/** What is known of one service. */
struct ServiceState
{
    std::uint32_t ended = 0; /**< Of this daemon's calls, since its start. */
    std::uint32_t refused = 0;
    double level = 1;           /**< Share of the volume of its rows that is let in. */
    double levelAtWork = 1;     /**< Moving mean: what is measured now was let in by it. */
    bool isRefusing = false;    /**< Calls were refused since the last period began, here or at peers. */
    unsigned cleanPeriods = 0;  /**< In a row, without refusals. */
    std::set<std::string> rows; /**< Routes whose requests reach it. */
    std::map<std::string, ReachEvidence> evidence; /**< By route, of those that may. */
    std::map<std::string, ReportedCounts> reports; /**< By daemon, this one included. */
    std::vector<RowWork> ownWorks;       /**< Told to peers: of rows that run at this daemon's server. */
    std::map<std::string, double> works; /**< By row: mean of what all daemons tell, in ms. */
};

/** Requests offered of one route; older ones count less. */
struct RowVolume
{
    unsigned priority = 0;
    double offered = 0;
    TimePoint updated;
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

/** A call of this daemon to `service` ended. `refused`: all servers that were asked had no room. */
void noteCallEnded (RootLimitState&, const std::string& service, bool refused);

/** `service` itself had no room for a request of `row`: the row reaches it. */
void noteReach (RootLimitState&, const std::string& row, const std::string& service);

/** A request of `row` failed at a server whose machine's calls `service` had refused meanwhile. The server
   may have failed for another reason, so the row counts as one that reaches the service only if that happens
   to a good part of its requests. */
void noteFailedBelow (RootLimitState&, TimePoint now, const std::string& row, const std::string& service);

/** What the requests of the rows that run at this daemon's server bring to `service`, as measured here. */
void setOwnWorks (RootLimitState&, const std::string& service, std::vector<RowWork>);

/** Work that one request of `row` brings to `service`, in ms; 0 if it isn't known. */
double knownWork (const RootLimitState&, const std::string& service, const std::string& row);

/** A client's request came, whether or not it is let in. */
void noteOffered (RootLimitState&, TimePoint now, const RootRow&);

/** A peer's report came. */
void notePeerReport (RootLimitState&, TimePoint now, const std::string& peer,
                     const std::vector<ServicePressure>&);

/** Mean share of each service's places that is taken, from 0 to 1, as its gates measure it. */
using ServiceUse = std::map<std::string, double>;

/** A level that a period's end moved, and what decided it. */
struct LevelMove
{
    std::string service;
    double from = 1;
    double to = 1;
    std::uint64_t ended = 0;                /**< Calls of the whole fleet in the period. */
    std::uint64_t refused = 0;              /**< Of those, refused. */
    std::size_t daemons = 0;                /**< Whose reports were recent enough. */
    double use = 0;                         /**< Of the service. */
    std::map<std::string, double> admitted; /**< Share let in of each row that reaches the service. */
};

/** Ends a period, once between two reports of this daemon: moves the levels by the fleet's counts. */
std::vector<LevelMove> endPeriod (RootLimitState&, TimePoint now, const ServiceUse&);

/** Whether a level isn't whole, or calls were refused lately: reports should come more often then. The first
   refusal brings it about at once, so that an overload that comes suddenly is met within the shorter period.
 */
bool isUnderPressure (const RootLimitState&);

/** What this daemon reports: services that some route is known to be refused by, that refused calls lately,
   or whose level isn't whole. */
std::vector<ServicePressure> ownReport (const RootLimitState&);

/** Share of new requests of a row that are refused now, from 0 to 1. */
double refusedShare (const RootLimitState&, const RootRow&);

} // namespace anisehold::overload
