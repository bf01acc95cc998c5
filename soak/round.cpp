#include "soak/round.hpp"

#include <array>
#include <boost/fiber/operations.hpp>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>

#include "net/event_loop.hpp"
#include "retry/attempt_plan.hpp"
#include "soak/fault_injector.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/sidecar_fleet.hpp"

namespace anisehold::soak
{
namespace
{

using testing::Fleet;
using testing::SidecarFleet;

/** Time after the last fault until the fleet must serve again. */
constexpr milliseconds recoveryTime{ 6'000 };
/** Duration of the check that follows the recovery time. */
constexpr milliseconds watchTime{ 2'000 };
/** Minimum share of the requests that must be served in that time. */
constexpr double minServedShare = 0.97;
constexpr milliseconds drainTimeout{ 500 };
constexpr milliseconds requestTime{ 1'500 };
/** How long after its deadline a response may arrive. */
constexpr milliseconds answerSlack{ 500 };
constexpr milliseconds clientPause{ 30 };
constexpr std::size_t clientsPerMachine = 2;
constexpr unsigned statusOk = 200;
/** Size of the body of an at-most-once request. */
constexpr std::size_t bodyBytes = 4'000;
/** The service of requests that may run at most once. */
constexpr const char* atMostOnceService = "pay";

// The planned stops at the end of a round, when no other disturbance is left.
/** Grace time in the settings of the fleet's machines. */
constexpr milliseconds stopGrace{ 3'000 };
/** Time in which the machines learn how long the long requests take. */
constexpr milliseconds longLoadTime{ 2'000 };
/** Maximum time between the two stop signals. */
constexpr milliseconds maxStopGap{ 1'200 };
/** Signals that a stopping machine gets in turn until its process has ended. */
constexpr std::array repeatedSignals{ SIGTERM, SIGHUP, SIGINT };
constexpr milliseconds repeatedSignalPeriod{ 250 };
constexpr std::size_t longClientsPerMachine = 8;
constexpr std::array<milliseconds, 3> longWorks{ milliseconds (300), milliseconds (700),
                                                 milliseconds (1'200) };

/** One machine of each service in each zone; "front" calls "back"; "pay" runs at most once and also calls
    "back". */
std::vector<testing::SidecarMachinePlan> machinePlans (std::size_t numZones, unsigned toleratedZones)
{
    const std::vector<lab::NestedCall> calls{ { "back.example", "/back/call" } };
    std::vector<testing::SidecarMachinePlan> plans;

    for (std::size_t n = 1; n <= numZones; ++n)
    {
        const auto zone = "z" + std::to_string (n);
        plans.push_back ({ zone, "front", calls, 16, milliseconds (10), true });
        plans.push_back ({ zone, "pay", calls, 16, milliseconds (10), true });
        plans.push_back ({ zone, "back", {}, 32, milliseconds (5), true });
    }

    for (auto& plan : plans)
        plan.tolerated_zone_losses = toleratedZones;

    return plans;
}

/** Odd seeds run with the mechanisms for shortages, even ones without. */
unsigned toleratedZones (std::uint64_t seed)
{
    return static_cast<unsigned> (seed % 2);
}

/** The clients' keys, and the tenants that hold them. The last key is revoked during the round. */
struct ClientKey
{
    std::string key;
    std::string tenant;
};

const std::vector<ClientKey>& clientKeys()
{
    static const std::vector<ClientKey> keys{ { "soak-key-1", "blue" },
                                              { "soak-key-2", "green" },
                                              { "soak-key-3", "green" } };
    return keys;
}

/** All routes may be called without a key, since the fleet's own probes and servers have none. */
std::string configuration (unsigned version, bool holdsLastKey)
{
    auto document =
        nlohmann::json::parse (testing::configuration_text (version, { "front", "back" }, { "pay" }));

    for (auto& route : document["routes"])
        route["allowAnonymous"] = true;

    for (const auto& it : clientKeys())
    {
        auto& keys = document["tenants"][it.tenant]["apiKeys"];

        if (holdsLastKey || it.key != clientKeys().back().key)
            keys.push_back (it.key);
    }

    return document.dump();
}

//==============================================================================
class Round
{
public:
    explicit Round (const RoundOptions& optionsToUse)
        : options (optionsToUse),
          fleet (options.basePort, machinePlans (options.numZones, toleratedZones (options.seed))),
          checker (drainTimeout, fleet.machine (0).key_revocation),
          injector (fleet, checker,
                    { drainTimeout, requestTime,
                      [this] (unsigned version) { return configuration (version, holdsLastKey); },
                      atMostOnceService })
    {
    }

    RoundResult run()
    {
        RoundResult result;
        result.plan = drawPlan (options.seed, { fleet.size(), options.numFaults, options.faultsEnd });
        result.logFolder = fleet.folder();
        result.started = injector.startLinks() && fleet.start (configuration (1, true));

        if (! result.started)
            return result;

        observeServers();
        startClients();
        injector.start (result.plan);
        boost::this_fiber::sleep_for (options.faultsEnd / 2);
        revokeKey();
        boost::this_fiber::sleep_for (options.faultsEnd - options.faultsEnd / 2 + recoveryTime);
        checkProcesses();
        isWatched = true;
        boost::this_fiber::sleep_for (watchTime);
        isWatched = false;
        stopMachines();
        isOver = true;
        SidecarFleet::pause (requestTime + answerSlack);
        finish (result);
        return result;
    }

private:
    void observeServers()
    {
        for (std::size_t n = 0; n < fleet.size(); ++n)
        {
            fleet.machine (n).server->observe (
                [this] (const lab::ServerArrival& it)
                {
                    checker.onArrival ({ RequestId (it.id), InstanceId (it.instance), it.service, it.target,
                                         it.runs, TimePoint::clock::now(), it.tenant, it.shows_key });
                });
        }
    }

    void revokeKey()
    {
        holdsLastKey = false;
        injector.changeConfiguration();
        checker.onKeyRevoked (TimePoint::clock::now());
    }

    //==============================================================================
    void startClients()
    {
        for (std::size_t machine = 0; machine < fleet.size(); ++machine)
        {
            for (std::size_t n = 0; n < clientsPerMachine; ++n)
                net::EventLoop::spawn ([this, machine, n] { runClient (machine, n); });
        }
    }

    void runClient (std::size_t machine, std::size_t client)
    {
        static const std::vector<std::string> services{ "front", "pay", "back" };
        // The connection is used until the daemon or its process ends it.
        auto connection = fleet.client_of (machine);

        for (std::size_t n = 0; ! isOver; ++n)
        {
            const auto& service = services[(n + client) % services.size()];
            SentRequest sent;
            sent.id = RequestId ("s" + std::to_string (options.seed) + "-" + std::to_string (machine) + "-" +
                                 std::to_string (client) + "-" + std::to_string (n));
            sent.service = service;
            sent.target = "/" + service + "/" + std::to_string (n);
            sent.mayRepeat = service != atMostOnceService;
            sent.maxArrivals = toleratedZones (options.seed) > 0 ? retry::kMaxSends : sent.maxServers;
            const auto& key = clientKeys()[n % clientKeys().size()];
            sent.tenant = key.tenant;
            sent.usesRevokedKey = &key == &clientKeys().back();
            sent.at = TimePoint::clock::now();
            sent.machine = machine;
            sent.timeLeft = requestTime;
            sendOne (connection, sent, key.key);
            boost::this_fiber::sleep_for (clientPause);
        }
    }

    //==============================================================================
    /** Stops two machines as planned, at different times, amid changes of the settings and the configuration.
        Their clients send long requests too, and go on until the processes are gone. */
    void stopMachines()
    {
        const auto first = static_cast<std::size_t> (options.seed % fleet.size());
        const auto distance = static_cast<std::size_t> (options.seed / fleet.size() % (fleet.size() - 1));
        const auto second = (first + 1 + distance) % fleet.size();
        const auto gap = milliseconds (static_cast<long long> (options.seed % 7) * maxStopGap.count() / 6);

        for (const auto machine : { first, second })
            for (std::size_t n = 0; n < longClientsPerMachine; ++n)
                net::EventLoop::spawn ([this, machine, n] { runLongClient (machine, n); });

        boost::this_fiber::sleep_for (longLoadTime);
        stopMachine (first);
        fleet.reload (first);
        injector.changeConfiguration();
        boost::this_fiber::sleep_for (gap);
        stopMachine (second);
        fleet.reload (second);

        for (const auto& [machine, stoppedAt] : stops)
            if (fleet.wait_for_exit (machine, stoppedAt + stopGrace - TimePoint::clock::now()) != 0)
                checker.report (Promise::staysAlive,
                                "machine-" + std::to_string (machine) + " did not stop in its grace time");
    }

    void stopMachine (std::size_t machine)
    {
        const auto now = TimePoint::clock::now();
        stops[machine] = now;
        checker.onStopPlanned (machine, now, stopGrace);
        fleet.terminate (machine);
        net::EventLoop::spawn ([this, machine] { repeatStopSignals (machine); });
    }

    /** Sends further signals to a stopping machine, which must not shorten its stop. */
    void repeatStopSignals (std::size_t machine)
    {
        for (std::size_t n = 0; fleet.is_running (machine); ++n)
        {
            fleet.signal (machine, repeatedSignals[n % repeatedSignals.size()]);
            boost::this_fiber::sleep_for (repeatedSignalPeriod);
        }
    }

    /** Sends requests of very different durations; every other client opens a connection for each. */
    void runLongClient (std::size_t machine, std::size_t client)
    {
        auto kept = fleet.client_of (machine);

        for (std::size_t n = 0; ! isOver; ++n)
        {
            const auto work = longWorks.at ((n + client) % longWorks.size());
            const auto number = std::to_string (client) + "-" + std::to_string (n);
            SentRequest sent;
            sent.id = RequestId ("s" + std::to_string (options.seed) + "-" + std::to_string (machine) +
                                 "-long-" + number);
            sent.service = atMostOnceService;
            sent.target = "/" + sent.service + "/" + number + "/work-" + std::to_string (work.count());
            sent.maxArrivals = toleratedZones (options.seed) > 0 ? retry::kMaxSends : sent.maxServers;
            sent.tenant = clientKeys().front().tenant;
            sent.at = TimePoint::clock::now();
            sent.machine = machine;
            sent.timeLeft = requestTime;

            if (client % 2 == 0)
            {
                sendOne (kept, sent, clientKeys().front().key);
            }
            else
            {
                auto connection = fleet.client_of (machine);
                sendOne (connection, sent, clientKeys().front().key);
            }

            boost::this_fiber::sleep_for (clientPause);
        }
    }

    void sendOne (net::HttpClient& connection, const SentRequest& sent, const std::string& key)
    {
        const auto machine = sent.machine;
        checker.onSent (sent);
        // A request with a revoked key is refused, which is correct.
        const bool counts = isWatched && ! sent.usesRevokedKey;
        const bool wasUndisturbed = ! injector.isDisturbed (machine);
        const auto started = TimePoint::clock::now();
        testing::ClientRequest request{ sent.mayRepeat ? "GET" : "POST", sent.service + ".example",
                                        sent.target, sent.id.value, requestTime };
        request.fields.add ("Authorization", "Bearer " + key);
        request.body = std::string (sent.mayRepeat ? 0 : bodyBytes, 'x');
        const auto got = fleet.send_over (machine, connection, request);
        const auto elapsed = TimePoint::clock::now() - started;
        checker.onAnswer ({ sent.id, got.status, std::string (got.fields.find ("Request-Id").value_or ("")),
                            std::string (got.fields.find ("Server-Signature").value_or ("")), got.body,
                            got.fields.find ("Server-Limit").has_value(),
                            got.fields.find ("Server-Leaving").has_value(), TimePoint::clock::now() });

        if (wasUndisturbed && ! injector.isDisturbed (machine) && elapsed > requestTime + answerSlack)
            checker.report (Promise::answeredInTime,
                            sent.id.value + " after " + std::to_string (to_milliseconds (elapsed)) + " ms");

        if (! counts)
            return;

        ++watchedSent;
        watchedServed += got.status == statusOk ? 1 : 0;
    }

    //==============================================================================
    void checkProcesses()
    {
        for (std::size_t n = 0; n < fleet.size(); ++n)
        {
            if (stops.contains (n) || fleet.is_running (n))
                continue;

            checker.report (Promise::staysAlive, "machine-" + std::to_string (n) + " ended by itself");
        }
    }

    void finish (RoundResult& result)
    {
        checkProcesses();
        checker.finish();
        result.servedAfterFaults =
            watchedSent == 0 ? 0 : static_cast<double> (watchedServed) / static_cast<double> (watchedSent);

        if (result.servedAfterFaults < minServedShare)
            checker.report (Promise::recovers, std::to_string (watchedServed) + " of " +
                                                   std::to_string (watchedSent) +
                                                   " requests after the faults");

        for (std::size_t n = 0; n < fleet.size(); ++n)
            fleet.kill (n);

        result.broken = checker.broken();
        result.numSent = checker.numSent();
        result.numServed = checker.numServed();
    }

    RoundOptions options;
    SidecarFleet fleet;
    PromiseChecker checker;
    FaultInjector injector;
    std::map<std::size_t, TimePoint> stops; /**< Stop signals at the end of the round, by machine. */
    bool holdsLastKey = true;
    bool isWatched = false;
    bool isOver = false;
    std::size_t watchedSent = 0;
    std::size_t watchedServed = 0;
};

} // namespace

RoundResult runRound (const RoundOptions& options)
{
    // Some fibers of the round end shortly after it; the objects that they refer to must stay valid.
    auto* round = new Round (options);
    return round->run();
}

} // namespace anisehold::soak
