/** A fleet in front of chains of calls that all end at one service, in simulated time.

    Clients send requests of several rows; each makes its calls to the service at the end of the chain one
   after the other, through any daemon, and fails with the first that is refused. Decisions are those of the
   real classes: the limit of root requests, the gates of the servers and their limits. Servers, links and
   what lies between the edge and the end of the chain are modelled by times. Deterministic for a seed.
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

#include "admission/server_gate.hpp"
#include "overload/root_limit.hpp"
#include "overload/time_weighted_mean.hpp"
#include "retry/window_budget.hpp"

namespace anisehold::model
{

/** Requests of one kind. */
struct RowTerms
{
    overload::RootRow row;
    double perSecond = 0;
    int calls = 1;        /**< To the service at the end, one after the other; 0 if it never gets there. */
    double workMs = 0;    /**< Of each call, at a server of speed 1. */
    double betweenMs = 0; /**< Before each call, in the services above. */
    unsigned callPriority = 0; /**< At the gates. */
    double maxWaitMs = 0;      /**< Of each call at gates. */
    bool isDirect = false;     /**< The request itself is the call: nothing was done for it before. */
    int callsPerRun = 1; /**< Calls in a row that one server above makes, through the daemon beside it. */
};

/** A server of the service at the end. */
struct ServerTerms
{
    unsigned slots = 20;
    double slowness = 1;   /**< Factor of all work. */
    double kneeShare = 1;  /**< With more than this share of its slots taken ... */
    double kneeFactor = 1; /**< ... all work takes so many times as long. */
    double declined = 0;   /**< Share of the calls that it declines at once, whatever its load. */
};

/** How the requests of one row ended, by when they were sent. */
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
    ChainModel (std::vector<RowTerms>, std::vector<ServerTerms>, std::size_t daemons, unsigned seed);

    /** Whether requests are refused early; else all come to the gates. */
    void setEarlyRefusal (bool isOn) { refusesEarly = isOn; }
    /** Plays on for so long. */
    void run (Duration);
    /** The tallies of requests sent since the last call, by row; requests under way count as sent only. */
    std::map<std::string, RowTally> takeTallies();
    /** Completed calls at the service at the end, since the start. */
    std::uint64_t completedCalls() const { return completed; }
    /** Of each daemon. */
    const std::vector<overload::RootLimitState>& limits() const { return daemons; }

private:
    struct Server
    {
        ServerTerms terms;
        admission::ServerGate gate;
        overload::TimeWeightedMean running;
    };

    /** A request on its way. */
    struct Chain
    {
        const RowTerms* terms = nullptr;
        std::size_t daemon = 0;    /**< That took the request. */
        std::size_t runDaemon = 0; /**< Beside the server above that makes the calls now. */
        int callsLeft = 0;
        TimePoint admitted;
        double heldMs = 0; /**< Time of slots that its calls took. */
        std::shared_ptr<RowTally> tally;
    };

    /** One call on its way: at which server it waits, and which it has tried. */
    struct Call
    {
        std::shared_ptr<Chain> chain;
        std::size_t daemon = 0; /**< That took the call. */
        std::uint64_t id = 0;
        std::vector<bool> tried;
        TimePoint waitEnds;
        unsigned reached = 0; /**< Servers that declined it. */
        TimePoint began;      /**< Its work. */
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
    void sendRequests (const RowTerms&);
    void beginRequest (const RowTerms&);
    void beginCall (const std::shared_ptr<Chain>&);
    /** The server that the call hasn't tried and that is filled least; the number of servers if it tried all.
     */
    std::size_t leastFilled (const Call&) const;
    void tryServers (const std::shared_ptr<Call>&);
    void startWork (std::size_t server, const std::shared_ptr<Call>&);
    void endWork (std::size_t server, const std::shared_ptr<Call>&);
    void endDeclined (std::size_t server, const std::shared_ptr<Call>&);
    /** The server's gate has a slot less taken. */
    void leaveServer (std::size_t server, const Call&, admission::SampleOutcome);
    /** The request ends, with or without an answer. */
    void endChain (const Chain&);
    /** The request ends without an answer. */
    void failChain (const Chain&);
    void endCall (const std::shared_ptr<Call>&, bool refused);
    void recordWork (const Chain&);
    void report (std::size_t daemon);
    double draw() { return std::uniform_real_distribution<double> (0, 1) (random); }
    std::size_t anyDaemon() { return random() % daemons.size(); }

    std::vector<RowTerms> rows;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<overload::RootLimitState> daemons;
    std::vector<retry::WindowBudget> budgets; /**< Of the same daemons. */
    std::map<std::string, std::shared_ptr<RowTally>> tallies;
    std::map<std::uint64_t, std::shared_ptr<Call>> waiting; /**< By id. */
    std::map<std::string, double> works; /**< Mean of what the requests of a row took, in ms of slots. */
    std::priority_queue<Event> events;
    std::mt19937 random;
    TimePoint now{ seconds (1'000) };
    bool refusesEarly = true;
    std::uint64_t lastOrder = 0;
    std::uint64_t lastCall = 0;
    std::uint64_t completed = 0;
};

} // namespace anisehold::model
