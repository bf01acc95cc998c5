#include "tests/incidents/crash_model.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "suspects/crash_ledger.hpp"
#include "suspects/suspect_server.hpp"
#include "suspects/suspect_slots.hpp"

namespace anisehold::model
{
namespace
{

using suspects::CrashedRun;
using suspects::CrashLedger;

constexpr std::size_t numDaemons = 14;
constexpr std::size_t numServers = 4;
constexpr std::uint64_t numCallers = 4;
constexpr milliseconds downTime{ 3'000 };
constexpr milliseconds deadline{ 2'000 };
constexpr int maxServers = 2;
constexpr int maxTries = 2;
constexpr std::uint64_t fatalNumber = 0;

/** One request of a client, with all its attempts. */
struct Request
{
    std::uint64_t number = 0;
    std::size_t daemon = 0;    /**< Daemon that took the current attempt. */
    bool hasOneCaller = false; /**< The caller is the same at every machine. */
    int numTries = 1;
    int numSent = 0; /**< Servers that the request was sent to in the current attempt. */
    std::vector<std::string> tried;
    TimePoint began;
    bool isOver = false;

    bool isFatal() const { return number == fatalNumber; }
    RequestIdentity identity() const
    {
        return { { 1, number }, CallerDigest (hasOneCaller ? numCallers : daemon % numCallers) };
    }
};

using RequestPtr = std::shared_ptr<Request>;

struct Run
{
    RequestPtr request;
    unsigned crashesBefore = 0;
    std::uint64_t id = 0;
};

struct Server
{
    std::string name;
    bool isUp = true;
    std::vector<Run> runs;
    suspects::SuspectSlots slots;
    std::deque<RequestPtr> waiting;
};

class Model
{
public:
    Model (const ContainmentRules& rulesToUse, const CrashDay& dayToSimulate)
        : rules (rulesToUse),
          day (dayToSimulate),
          random (dayToSimulate.seed),
          ledgers (numDaemons),
          servers (numServers),
          known (numServers)
    {
        for (std::size_t n = 0; n < numServers; ++n)
            servers[n].name = known[n].server.instance = "i-" + std::to_string (n);
    }

    CrashResult simulate()
    {
        const auto end = now + day.length;
        scheduleOrdinary();

        if (day.hasFatalRequest)
            scheduleFatal();

        if (day.selfCrashGap > Duration::zero())
            scheduleSelfCrash();

        while (! events.empty() && events.begin()->first < end)
        {
            auto it = events.begin();
            now = it->first;
            const auto action = std::move (it->second);
            events.erase (it);
            action();
        }

        return result;
    }

private:
    double draw (double min, double max)
    {
        return std::uniform_real_distribution<double> (min, max) (random);
    }
    std::size_t drawIndex (std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t> (0, size - 1) (random);
    }
    static Duration ofMilliseconds (double ms) { return microseconds (static_cast<long long> (1'000 * ms)); }
    void after (Duration time, std::function<void()> action)
    {
        events.emplace (now + time, std::move (action));
    }

    void scheduleOrdinary()
    {
        after (ofMilliseconds (std::exponential_distribution<double> (day.ratePerS / 1'000) (random)),
               [this]
               {
                   ++result.numOrdinary;
                   come (++lastNumber);
                   scheduleOrdinary();
               });
    }

    void scheduleFatal()
    {
        after (ofMilliseconds (draw (500, 3'000)),
               [this]
               {
                   come (fatalNumber);
                   scheduleFatal();
               });
    }

    void scheduleSelfCrash()
    {
        after (day.selfCrashGap,
               [this]
               {
                   crash (servers[drawIndex (numServers)]);
                   scheduleSelfCrash();
               });
    }

    void come (std::uint64_t number)
    {
        auto request = std::make_shared<Request>();
        request->number = number;
        request->daemon = drawIndex (numDaemons);
        request->hasOneCaller = request->isFatal() && day.hasOneCaller;
        request->began = now;
        send (request);
    }

    unsigned crashesOf (std::size_t daemon, const RequestIdentity& identity) const
    {
        return rules.recordsCrashes ? suspects::crashesOf (ledgers[daemon], now, identity) : 0;
    }

    bool isCondemned (std::size_t daemon, const RequestIdentity& identity) const
    {
        return rules.recordsCrashes && (suspects::isCondemned (ledgers[daemon], now, identity) ||
                                        crashesOf (daemon, identity) >= rules.crashesToCondemn);
    }

    Server* choose (const Request& request)
    {
        membership::ServiceView view;

        for (std::size_t n = 0; n < numServers; ++n)
        {
            if (servers[n].isUp)
                view.local.push_back (&known[n]);
        }

        const bool isSuspect = crashesOf (request.daemon, request.identity()) > 0;
        const membership::KnownServer* chosen = nullptr;

        if (isSuspect && rules.sendsToOneServer)
            chosen = suspects::chooseForSuspect (view, request.identity().digest, request.tried);
        else
        {
            std::vector<const membership::KnownServer*> left;
            std::copy_if (view.local.begin(), view.local.end(), std::back_inserter (left),
                          [&] (const auto* it)
                          {
                              return std::find (request.tried.begin(), request.tried.end(),
                                                it->server.instance) == request.tried.end();
                          });
            chosen = left.empty() ? nullptr : left[drawIndex (left.size())];
        }

        return chosen == nullptr ? nullptr : &servers[static_cast<std::size_t> (chosen - known.data())];
    }

    void send (const RequestPtr& request)
    {
        const auto identity = request->identity();

        if (isCondemned (request->daemon, identity))
        {
            result.numFalseVerdicts += request->isFatal() ? 0 : 1;
            return endTry (request);
        }

        auto* server = request->numSent < maxServers ? choose (*request) : nullptr;

        if (server == nullptr)
            return endTry (request);

        ++request->numSent;
        request->tried.push_back (server->name);
        begin (*server, request);
    }

    std::size_t gateOf (const Server& server) const
    {
        return static_cast<std::size_t> (&server - servers.data());
    }

    void begin (Server& server, const RequestPtr& request)
    {
        const auto identity = request->identity();
        const auto crashes =
            std::max (crashesOf (gateOf (server), identity), crashesOf (request->daemon, identity));

        if (crashes > 0 && rules.limitsSuspects)
        {
            if (! suspects::mayBegin (server.slots, crashes))
                return server.waiting.push_back (request);

            suspects::recordStart (server.slots, crashes);
        }

        const auto id = ++lastRun;
        server.runs.push_back ({ request, crashes, id });
        const auto time = ofMilliseconds (request->isFatal() ? draw (40, 90) : draw (60, 120));
        after (time, [this, &server, id] { end (server, id); });
    }

    void end (Server& server, std::uint64_t id)
    {
        const auto it = std::find_if (server.runs.begin(), server.runs.end(),
                                      [&] (const Run& run) { return run.id == id; });

        if (it == server.runs.end())
            return;

        if (it->request->isFatal())
        {
            ++result.numCrashes;
            return crash (server);
        }

        const auto run = *it;
        server.runs.erase (it);
        leaveSlots (server, run);
        run.request->isOver = true;
        result.maxDuration = std::max (result.maxDuration, now - run.request->began);

        if (run.crashesBefore > 0)
            tell (gateOf (server), [this, identity = run.request->identity()] (CrashLedger& ledger)
                  { suspects::recordCleared (ledger, now, identity, {}); });
    }

    void leaveSlots (Server& server, const Run& run)
    {
        if (run.crashesBefore == 0 || ! rules.limitsSuspects)
            return;

        suspects::recordEnd (server.slots, run.crashesBefore);
        auto waiting = std::move (server.waiting);
        server.waiting.clear();

        for (const auto& it : waiting)
            begin (server, it);
    }

    /** Reports to the daemon itself at once, and to the others after the report delay. */
    void tell (std::size_t from, const std::function<void (CrashLedger&)>& report)
    {
        report (ledgers[from]);
        after (rules.reportDelay,
               [this, from, report]
               {
                   for (std::size_t n = 0; n < numDaemons; ++n)
                   {
                       if (n != from)
                           report (ledgers[n]);
                   }
               });
    }

    void crash (Server& server)
    {
        if (! server.isUp)
            return;

        server.isUp = false;
        const auto runs = std::move (server.runs);
        const auto waiting = std::move (server.waiting);
        server.runs.clear();
        server.waiting.clear();
        server.slots = {};
        after (downTime, [&server] { server.isUp = true; });
        std::vector<CrashedRun> crashed;

        for (const auto& it : runs)
            crashed.push_back ({ it.request->identity(), it.crashesBefore });

        for (const auto& it : suspects::likelyCauses (crashed))
            tell (gateOf (server), [this, it] (CrashLedger& ledger)
                  { suspects::recordCrashes (ledger, now, it.request, it.crashesBefore + 1); });

        for (const auto& it : runs)
        {
            // The result shows the crash to the daemon that took the request.
            const auto identity = it.request->identity();
            suspects::recordCrashes (ledgers[it.request->daemon], now, identity,
                                     suspects::crashesOf (ledgers[gateOf (server)], now, identity));
            after (milliseconds (1), [this, request = it.request] { send (request); });
        }

        for (const auto& it : waiting)
            after (milliseconds (1), [this, it] { send (it); });
    }

    /** The client retries once, immediately, at another machine. */
    void endTry (const RequestPtr& request)
    {
        const bool willRetry = request->numTries < maxTries && now - request->began < deadline;

        if (! willRetry)
        {
            result.numFailed += request->isFatal() ? 0 : 1;
            return;
        }

        ++request->numTries;
        request->numSent = 0;
        request->tried.clear();
        request->daemon = drawIndex (numDaemons);
        after (milliseconds (5), [this, request] { send (request); });
    }

    ContainmentRules rules;
    CrashDay day;
    std::mt19937 random;
    TimePoint now{ seconds (1'000) };
    std::multimap<TimePoint, std::function<void()>> events;
    std::vector<CrashLedger> ledgers;
    std::vector<Server> servers;
    std::vector<membership::KnownServer> known;
    std::uint64_t lastNumber = fatalNumber;
    std::uint64_t lastRun = 0;
    CrashResult result;
};

} // namespace

CrashResult simulateDay (const ContainmentRules& rules, const CrashDay& day)
{
    return Model (rules, day).simulate();
}

} // namespace anisehold::model
