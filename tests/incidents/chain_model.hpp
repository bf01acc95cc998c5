/** Simulates a fleet that runs chains of calls which all end at one service.

    Clients send requests of several rows. Each request makes its calls to the last service one after the
    other, through any daemon, and fails with the first refused call. Decisions are made by the real classes:
    the limit of root requests, and the servers' gates with their limits. Servers, links and the services
    between the edge and the last one are modeled by delays. Time is simulated; runs are deterministic for a
    seed.
*/
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "admission/declined_share.hpp"
#include "admission/server_gate.hpp"
#include "overload/capacity_forecast.hpp"
#include "overload/retry_capacity.hpp"
#include "overload/root_limit.hpp"
#include "overload/time_weighted_mean.hpp"
#include "retry/gate_budget.hpp"
#include "retry/window_budget.hpp"

namespace anisehold::model
{

/** Traffic and calls of one row. */
struct RowSpec
{
    overload::RootRow row;
    double perSecond = 0;
    int calls = 1;      /**< Sequential calls to the last service; 0 if the request never gets there. */
    double workMs = 0;  /**< Work of each call at a server with slowness 1. */
    double delayMs = 0; /**< Delay before each call, in the services upstream. */
    unsigned callPriority = 0; /**< Priority of the calls at the gates. */
    double maxWaitMs = 0;      /**< Maximum wait of each call at gates. */
    bool isDirect = false;     /**< The request itself is the call, without earlier work. */
    int callsPerRun = 1; /**< Consecutive calls that one upstream server makes through its local daemon. */
};

/** A server of the last service. */
struct ServerSpec
{
    unsigned slots = 20;
    double slowness = 1;     /**< Factor of the duration of all work. */
    double kneeShare = 1;    /**< Share of busy slots above which the server slows down. */
    double kneeFactor = 1;   /**< Factor of the duration of all work above that share. */
    double refusalShare = 0; /**< Share of the calls that the server refuses at once, whatever its load. */
};

/** Results of the requests of one row, by the time at which they were sent. */
struct RowTally
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refusedEarly = 0;
    std::uint64_t failed = 0;
};

class ChainModel
{
public:
    ChainModel (std::vector<RowSpec>, std::vector<ServerSpec>, std::size_t daemons, unsigned seed);

    /** Sets whether requests are rejected early; otherwise all requests reach the gates. */
    void setEarlyRefusal (bool isOn) { refusesEarly = isOn; }
    /** Lets the gates grant retries, repeats declined calls, and admits requests as far as the retries carry
        them. */
    void useGateBudgets();
    /** Sets the share of the calls that all servers refuse at once, whatever their load. */
    void setRefusalShare (double);
    /** Returns the retries that arrived at the servers, and the first arrivals, since the start. */
    std::uint64_t retriesArrived() const { return retryArrivals; }
    std::uint64_t firstArrived() const { return firstArrivals; }
    /** Turns the capacity forecast on, before the first run. `workError` is the factor by which the work
        estimates are wrong. */
    void useForecast (double workError = 1);
    /** Sets the factor of the clients' request rates. */
    void setLoad (double factor) { load = factor; }
    /** Cuts the first daemons and the first servers off from the others; zeros join both sides again. */
    void cutOff (std::size_t daemonCount, std::size_t serverCount);
    /** Advances the simulation by the given time. */
    void run (Duration);
    /** Returns and resets the tallies by row of the requests sent since the last call; requests in flight
        count as sent only. */
    std::map<std::string, RowTally> takeTallies();
    /** Returns the calls that no server had capacity for, and all calls, since the start. */
    std::uint64_t refusedCalls() const { return refused; }
    std::uint64_t endedCalls() const { return ended; }
    /** Returns the calls completed at the last service since the start. */
    std::uint64_t completedCalls() const { return completed; }
    /** Returns the state of each daemon's limit of root requests. */
    const std::vector<overload::RootLimitState>& limits() const { return daemons; }

private:
    struct Server
    {
        ServerSpec spec;
        admission::ServerGate gate;
        overload::TimeWeightedMean running;
        std::unique_ptr<retry::GateBudget> budget{}; /**< Set if gates grant retries. */
        admission::DeclinedShare declined{};
        double latencyUs = 0;
        double meanMs = 0; /**< Moving mean of the service time; for the forecast. */
    };

    /** Work of the requests of a row, decayed exponentially. */
    struct RowWorkSum
    {
        double ms = 0;
        double requests = 0;
        TimePoint updated;
    };

    /** A request in flight. */
    struct Chain
    {
        const RowSpec* spec = nullptr;
        std::size_t daemon = 0;    /**< Daemon that took the request. */
        std::size_t runDaemon = 0; /**< Daemon of the upstream server that currently makes the calls. */
        int callsLeft = 0;
        TimePoint admitted;
        double heldMs = 0; /**< Slot time that the calls took. */
        std::shared_ptr<RowTally> tally;
    };

    /** A call in flight, with the servers that it has tried. */
    struct Call
    {
        std::shared_ptr<Chain> chain;
        std::size_t daemon = 0; /**< Daemon that took the call. */
        std::uint64_t id = 0;
        std::vector<bool> tried;
        TimePoint waitEnds;
        unsigned reached = 0;           /**< Number of servers that refused the call. */
        TimePoint began;                /**< Start of the call's work. */
        std::vector<bool> declinedAt{}; /**< Servers that refused the call, if gates grant retries. */
    };

    /** Observed work of a row's chains, decayed. */
    struct ChainWork
    {
        double ms = 0;
        double chains = 0;
        TimePoint updated;
    };

    struct Event
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    void at (TimePoint, std::function<void()>);
    void sendRequests (const RowSpec&);
    void beginRequest (const RowSpec&);
    void beginCall (const std::shared_ptr<Chain>&);
    /** Returns the least loaded server that the call hasn't tried; the number of servers if it has tried
        all. */
    std::size_t leastLoaded (const Call&) const;
    void tryServers (const std::shared_ptr<Call>&);
    void startWork (std::size_t server, const std::shared_ptr<Call>&);
    void endWork (std::size_t server, const std::shared_ptr<Call>&);
    void endRefused (std::size_t server, const std::shared_ptr<Call>&);
    /** Finishes a call at the server's gate, and starts the calls that the gate admits. */
    void leaveServer (std::size_t server, const Call&, admission::SampleOutcome);
    /** Ends a request, successful or not. */
    void endChain (const Chain&);
    /** Ends a request as failed. */
    void failChain (const Chain&);
    void endCall (const std::shared_ptr<Call>&, bool refused);
    void recordWork (const Chain&);
    /** Whether the gate of the server grants the call, if it is a retry; otherwise the call ends. */
    bool isGranted (std::size_t server, const std::shared_ptr<Call>&);
    /** Records that the server ended a call, and tells the daemons if it began or ceased to decline. */
    void recordDecline (std::size_t server, const Call&, bool declined);
    void tellDecline (std::size_t daemon, std::size_t server);
    /** Sends a refused call again, if gates grant retries. */
    void repeatDeclined (std::size_t server, const std::shared_ptr<Call>&);
    void recordDecayedWork (const Chain&);
    void report (std::size_t daemon);
    /** Updates the forecast of a daemon, periodically. */
    void forecast (std::size_t daemon);
    /** Records an offered request for the forecast; a significant rise is reported at once. */
    void offerToForecast (std::size_t daemon, const overload::RootRow&);
    /** Sends the offered volumes and work estimates of a daemon to those that it reaches. */
    void sendVolumes (std::size_t daemon);
    bool isApart (std::size_t daemon) const { return daemon < daemonsApart; }
    /** Whether the daemon can reach the server. */
    bool reaches (std::size_t daemon, std::size_t server) const
    {
        return daemonsApart == 0 || isApart (daemon) == (server < serversApart);
    }
    bool isCutNoticed() const;
    /** Returns the servers as the daemon's forecast sees them. */
    std::vector<overload::ServerSupply> suppliesOf (std::size_t daemon) const;
    std::size_t runDaemonFor (std::size_t daemon);
    double draw() { return std::uniform_real_distribution<double> (0, 1) (random); }
    std::size_t anyDaemon() { return random() % daemons.size(); }

    std::vector<RowSpec> rows;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<overload::RootLimitState> daemons;
    std::vector<retry::WindowBudget> budgets; /**< Retry budget of each daemon. */
    std::map<std::string, std::shared_ptr<RowTally>> tallies;
    std::map<std::uint64_t, std::shared_ptr<Call>> waiting; /**< By id. */
    std::map<std::string, double> meanWork;                 /**< Mean work by row, in ms of slot time. */
    std::map<std::string, ChainWork> chainWork;             /**< By row; for the forecast. */
    std::priority_queue<Event> events;
    std::mt19937 random;
    TimePoint now{ seconds (1'000) };
    bool refusesEarly = true;
    bool hasForecast = false;
    double workErrorFactor = 1;
    double load = 1;
    std::size_t daemonsApart = 0; /**< 0: all daemons reach each other and all servers. */
    std::size_t serversApart = 0;
    TimePoint cutAt;
    std::vector<TimePoint> volumesSent; /**< By daemon. */
    std::uint64_t ended = 0;
    std::uint64_t refused = 0;
    std::uint64_t lastOrder = 0;
    std::uint64_t lastCall = 0;
    std::uint64_t completed = 0;
    bool gatesGrantRetries = false;
    std::map<std::string, RowWorkSum> decayedWork; /**< Used if gates grant retries. */
    std::uint64_t retryArrivals = 0;
    std::uint64_t firstArrivals = 0;
};

} // namespace anisehold::model
