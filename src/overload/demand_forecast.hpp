/** The fleet's demand: the requests that clients offer per second, by row, and the work that a request of
    each row brings to each service.

    The limit of root requests must act in the first second of a burst of 5 s, so this daemon's own rates have
    a half-life of half a second, and a daemon whose demand rises significantly reports at once. The rates of
    peers are those of their latest records; the caller drops those of peers that it can't reach. Work
    estimates are kept for unreachable peers, since the work of a row doesn't depend on who measured it.

    Owns DemandState. Relies on peers that report their own clients' requests only, so that no request is
    counted twice. Plain state and free functions. Pure.
*/
#pragma once

#include <map>
#include <string>
#include <vector>

#include "overload/offered_report.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::overload
{

/** Rate of one row's requests at this daemon, decayed exponentially. */
struct OwnRate
{
    unsigned priority = 0;
    double offered = 0;
    TimePoint updated;
};

/** Test for a rise of this daemon's demand. */
struct SurgeTest
{
    double score = 0; /**< Logarithm of the likelihood ratio of a rise (CUSUM). */
    double usual = 0; /**< Decayed number of requests. */
    TimePoint updated;
};

/** Rate of one row, over the fleet. */
struct OfferedRate
{
    double perSecond = 0;
    unsigned priority = 0;
};

/** Work per request, in ms of slot time, by row. */
using RowMs = std::map<std::string, double>;

/** What one daemon reported. */
struct PeerDemand
{
    std::vector<OfferedRow> offered;
    TimePoint reported;                 /**< Time of `offered`. */
    std::map<std::string, RowMs> works; /**< By service. */
    TimePoint worksReported;
};

/** Change between successive reports of the same daemons, over the latest reports; both decayed. */
struct ReportTrend
{
    double before = 0;  /**< Sum of the rates in the earlier reports. */
    double now = 0;     /**< Sum of the rates in the later ones. */
    double reports = 0; /**< Number of reports. */
    double pauseS = 0;  /**< Sum of the times between the two. */
    TimePoint updated;
};

/** Demand as known to one daemon. */
struct DemandState
{
    std::map<std::string, OwnRate> own; /**< By row. */
    SurgeTest surge;
    ReportTrend trend;
    std::map<std::string, PeerDemand> peers; /**< By daemon; the works of this daemon under its own name. */
    std::map<std::string, RowMs> works;      /**< By service: means over the daemons. */
    bool areWorksStale = false;              /**< `works` must be computed again. */
    TimePoint worksComputed;
    std::map<std::string, RowMs> sentWorks; /**< Own estimates as last sent, by service. */
    TimePoint worksSent;
};

/** Maximum number of rows in the offered volumes of one record. */
inline constexpr std::size_t maxOfferedRows = 32;
/** Maximum number of services in the work estimates of one record. */
inline constexpr std::size_t maxWorkServices = 16;

/** Records a client's request, whether or not it is admitted. Returns true if the demand of this daemon has
    risen significantly above the usual, which is then reset to the new demand. */
bool recordDemand (DemandState&, TimePoint now, const std::string& row, unsigned priority);

/** Returns the rates of this daemon's rows, for its record. */
std::vector<OfferedRow> ownOffered (const DemandState&, TimePoint now);

/** Sets this daemon's estimates for a service. */
void setOwnWorks (DemandState&, const std::string& ownName, const std::string& service,
                  const std::vector<RowWork>&);

/** Returns this daemon's estimates if they must be sent: one has changed by more than a tenth since they were
    last sent, or a long time has passed, since datagrams are lost. */
std::vector<ServiceWork> dueWorks (DemandState&, TimePoint now, const std::string& ownName);

/** Returns this daemon's estimates, for a peer that is new. */
std::vector<ServiceWork> ownWorks (const DemandState&, const std::string& ownName);

/** Records the volumes and estimates in a peer's record. */
void recordPeerDemand (DemandState&, TimePoint now, const std::string& peer, const OfferedReport&);

/** Records the estimates for one service in a peer's report on services that lack capacity. */
void recordPeerWorks (DemandState&, TimePoint now, const std::string& peer, const std::string& service,
                      const std::vector<RowWork>&);

/** Drops the volumes of a peer that can't be reached. Its estimates expire later. */
void dropPeerVolumes (DemandState&, const std::string& peer);

/** Returns the rate of each row over this daemon and the peers that can be reached, by `rowId`. While the
    latest reports differ significantly from the earlier reports of the same daemons, the rates of the daemons
    that have not reported since are extrapolated. */
std::map<std::uint32_t, OfferedRate> fleetDemand (const DemandState&, TimePoint now);

/** Updates `works` if necessary, at most once a second, and removes expired estimates. */
void refreshWorks (DemandState&, TimePoint now, const std::string& ownName);

} // namespace anisehold::overload
