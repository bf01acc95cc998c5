#include "soak/round.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <map>
#include <memory>

#include "net/event_loop.hpp"
#include "soak/link.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/sidecar_fleet.hpp"

namespace anisehold::soak
{
namespace
{

using testing::Fleet;
using testing::SidecarFleet;

/** How long the fleet gets after the last fault before it must serve again. */
constexpr milliseconds recoveryTime{ 6'000 };
/** How long it is watched after that. */
constexpr milliseconds watchTime{ 2'000 };
/** Least share of requests that is served then. */
constexpr double leastServed = 0.97;
constexpr milliseconds drainTimeout{ 500 };
constexpr milliseconds requestTime{ 1'500 };
/** How much later than its deadline a request may be answered. */
constexpr milliseconds answerSlack{ 500 };
constexpr milliseconds clientPause{ 30 };
constexpr std::size_t clientsPerMachine = 2;
constexpr unsigned statusOk = 200;
constexpr milliseconds linkDelay{ 120 };
constexpr double lostShare = 0.5;
/** Links that reset do so again after this time. */
constexpr milliseconds resetPeriod{ 100 };

/** Two machines of each service; "front" calls "back", "pay" runs at most once and calls "back" too. */
std::vector<testing::SidecarMachinePlan> machinePlans()
{
    const std::vector<lab::NestedCall> calls{ { "back.example", "/back/call" } };
    std::vector<testing::SidecarMachinePlan> plans;

    for (const char* zone : { "z1", "z2" })
    {
        plans.push_back ({ zone, "front", calls, 16, milliseconds (10), true });
        plans.push_back ({ zone, "pay", calls, 16, milliseconds (10), true });
        plans.push_back ({ zone, "back", {}, 32, milliseconds (5), true });
    }

    return plans;
}

std::string configuration (unsigned version)
{
    return testing::configuration_text (version, { "front", "back" }, { "pay" });
}

/** The links of one machine. */
struct MachineLinkSet
{
    std::unique_ptr<StreamLink> store;
    std::unique_ptr<StreamLink> server;
    std::unique_ptr<StreamLink> hops;
    std::unique_ptr<DatagramLink> gossip;
};

//==============================================================================
class Round
{
public:
    explicit Round (const RoundOptions& optionsToUse)
        : options (optionsToUse),
          fleet (options.basePort, machinePlans()),
          checker (drainTimeout)
    {
    }

    RoundResult run()
    {
        RoundResult result;
        result.plan = drawPlan (options.seed, { fleet.size(), options.numFaults, options.faultsEnd });
        result.logFolder = fleet.folder();
        result.started = startLinks() && fleet.start (configuration (version));

        if (! result.started)
            return result;

        observeServers();
        loadStarted = TimePoint::clock::now();
        startClients();
        startFaults (result.plan);
        boost::this_fiber::sleep_for (options.faultsEnd + recoveryTime);
        checkProcesses();
        isWatched = true;
        boost::this_fiber::sleep_for (watchTime);
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
                                         it.runs, TimePoint::clock::now() });
                });
        }
    }

    bool startLinks()
    {
        auto& io = Fleet::loop().io();

        for (std::size_t n = 0; n < fleet.size(); ++n)
        {
            const auto& at = fleet.machine (n).links;
            auto& set = links.emplace_back();
            set.store = std::make_unique<StreamLink> (io, fleet.store_endpoint());
            set.server = std::make_unique<StreamLink> (io, at.server);
            set.hops = std::make_unique<StreamLink> (io, at.hops);
            set.gossip = std::make_unique<DatagramLink> (io, at.gossip);

            if (set.store->start (at.store_link) || set.server->start (at.server_link) ||
                set.hops->start (at.hops_link) || set.gossip->start (at.gossip_link))
                return false;
        }

        return true;
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

        for (std::size_t n = 0; ! isOver; ++n)
        {
            const auto& service = services[(n + client) % services.size()];
            SentRequest sent;
            sent.id = RequestId ("s" + std::to_string (options.seed) + "-" + std::to_string (machine) + "-" +
                                 std::to_string (client) + "-" + std::to_string (n));
            sent.service = service;
            sent.target = "/" + service + "/" + std::to_string (n);
            sent.mayRepeat = service != "pay";
            sendOne (machine, sent);
            boost::this_fiber::sleep_for (clientPause);
        }
    }

    void sendOne (std::size_t machine, const SentRequest& sent)
    {
        checker.onSent (sent);
        const bool counts = isWatched;
        const bool wasSound = ! isStruck (machine);
        const auto started = TimePoint::clock::now();
        const auto got = fleet.send (machine, { sent.mayRepeat ? "GET" : "POST", sent.service + ".example",
                                                sent.target, sent.id.value, requestTime });
        const auto taken = TimePoint::clock::now() - started;
        checker.onAnswer ({ sent.id, got.status, std::string (got.fields.find ("Request-Id").value_or ("")),
                            std::string (got.fields.find ("Server-Signature").value_or ("")), got.body });

        if (wasSound && ! isStruck (machine) && taken > requestTime + answerSlack)
            checker.report (Promise::answeredInTime,
                            sent.id.value + " after " + std::to_string (to_milliseconds (taken)) + " ms");

        if (! counts)
            return;

        ++watchedSent;
        watchedServed += got.status == statusOk ? 1 : 0;
    }

    //==============================================================================
    void startFaults (const std::vector<Fault>& plan)
    {
        for (const auto& fault : plan)
            net::EventLoop::spawn ([this, fault] { strike (fault); });
    }

    /** Brings one fault about and takes it back. */
    void strike (const Fault& fault)
    {
        boost::this_fiber::sleep_until (loadStarted + fault.at);
        const auto machine = fault.machine.value;
        const auto ends = loadStarted + fault.at + fault.lasts;
        struckUntil[machine] = std::max (struckUntil[machine], ends + requestTime);

        if (strikesProcess (fault.kind))
            strikeProcess (fault.kind, machine, ends);
        else if (strikesLinks (fault.kind))
            strikeLinks (fault.kind, machine, ends);
        else if (strikesServer (fault.kind))
            strikeServer (fault.kind, machine, ends);
        else
            strikeStore (fault.kind, ends);
    }

    static bool strikesProcess (FaultKind kind) { return kind <= FaultKind::processPaused; }
    static bool strikesLinks (FaultKind kind)
    {
        return kind >= FaultKind::linksDelayed && kind <= FaultKind::storeLinkReset;
    }
    static bool strikesServer (FaultKind kind)
    {
        return kind >= FaultKind::serverDeclines && kind <= FaultKind::serverReplaced;
    }

    bool isStruck (std::size_t machine) const
    {
        const auto it = struckUntil.find (machine);
        return it != struckUntil.end() && TimePoint::clock::now() < it->second;
    }

    void strikeProcess (FaultKind kind, std::size_t machine, TimePoint ends)
    {
        if (kind == FaultKind::processPaused)
        {
            fleet.freeze (machine);
            boost::this_fiber::sleep_until (ends);
            fleet.thaw (machine);
            return;
        }

        if (kind == FaultKind::processKilled)
            fleet.kill (machine);
        else
            fleet.terminate (machine);

        boost::this_fiber::sleep_until (ends);

        if (! fleet.wait_for_exit (machine, seconds (5)))
        {
            checker.report (Promise::staysAlive, "machine-" + std::to_string (machine) + " did not stop");
            fleet.kill (machine);
        }

        fleet.start_sidecar (machine);
    }

    void strikeLinks (FaultKind kind, std::size_t machine, TimePoint ends)
    {
        auto& set = links[machine];
        LinkBehaviour spoiled;
        spoiled.delay = kind == FaultKind::linksDelayed ? linkDelay : milliseconds (0);
        spoiled.resets = kind == FaultKind::linksReset || kind == FaultKind::storeLinkReset;
        spoiled.toTargetSilent = kind == FaultKind::linksSilent || kind == FaultKind::inboundSilent ||
                                 kind == FaultKind::storeLinkSilent;
        spoiled.toCallerSilent = kind == FaultKind::linksSilent || kind == FaultKind::answersSilent ||
                                 kind == FaultKind::storeLinkSilent;
        spoiled.datagramsLost = kind == FaultKind::datagramsLost ? lostShare : 0;
        const bool onlyStore = kind == FaultKind::storeLinkSilent || kind == FaultKind::storeLinkReset;
        const bool onlyPeers = kind == FaultKind::inboundSilent || kind == FaultKind::answersSilent;

        const auto apply = [&] (const LinkBehaviour& behaviour)
        {
            if (! onlyPeers)
                set.store->setBehaviour (behaviour);

            if (onlyStore)
                return;

            set.hops->setBehaviour (behaviour);

            if (kind != FaultKind::answersSilent)
                set.gossip->setBehaviour (behaviour);
        };

        do
        {
            apply (spoiled);
            boost::this_fiber::sleep_until (
                spoiled.resets ? std::min<TimePoint> (ends, TimePoint::clock::now() + resetPeriod) : ends);
        } while (TimePoint::clock::now() < ends);

        apply ({});
    }

    void strikeServer (FaultKind kind, std::size_t machine, TimePoint ends)
    {
        if (kind == FaultKind::serverReplaced)
        {
            replaceServer (machine, ends);
            return;
        }

        auto& faults = fleet.machine (machine).server->faults;
        auto& flag = kind == FaultKind::serverDeclines       ? faults.declines
                     : kind == FaultKind::serverLosesAnswers ? faults.loses_answers
                     : kind == FaultKind::serverUnsigned     ? faults.forgets_signature
                     : kind == FaultKind::serverConfused     ? faults.answers_another
                                                             : faults.hangs;
        flag = true;
        boost::this_fiber::sleep_until (ends);
        flag = false;
    }

    void replaceServer (std::size_t machine, TimePoint ends)
    {
        auto& server = *fleet.machine (machine).server;
        const auto before = server.instance();

        if (server.drain())
            checker.onLeaveAcknowledged (InstanceId (before), TimePoint::clock::now());

        boost::this_fiber::sleep_until (
            std::max<TimePoint> (ends, TimePoint::clock::now() + 2 * drainTimeout));
        server.replace ("i-" + std::to_string (machine) + "-" + std::to_string (++replacements));
    }

    void strikeStore (FaultKind kind, TimePoint ends)
    {
        auto& store = fleet.store();

        if (kind == FaultKind::storeForgets)
            store.forget_history();
        else if (kind == FaultKind::leasesEnd)
            store.end_leases();
        else if (kind == FaultKind::configurationChanged)
            fleet.configure (configuration (++version));

        auto& flag = kind == FaultKind::storeLosesAnswers ? store.faults.loses_answers
                     : kind == FaultKind::storeSilent     ? store.faults.is_silent
                                                          : store.faults.refuses;
        const bool lasts = kind == FaultKind::storeRefuses || kind == FaultKind::storeLosesAnswers ||
                           kind == FaultKind::storeSilent;

        if (! lasts)
            return;

        flag = true;
        boost::this_fiber::sleep_until (ends);
        flag = false;
    }

    //==============================================================================
    void checkProcesses()
    {
        for (std::size_t n = 0; n < fleet.size(); ++n)
        {
            if (fleet.is_running (n))
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

        if (result.servedAfterFaults < leastServed)
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
    std::vector<MachineLinkSet> links;
    PromiseChecker checker;
    unsigned version = 1;
    TimePoint loadStarted;
    bool isWatched = false;
    bool isOver = false;
    std::size_t watchedSent = 0;
    std::size_t watchedServed = 0;
    std::size_t replacements = 0;
    std::map<std::size_t, TimePoint> struckUntil;
};

} // namespace

RoundResult runRound (const RoundOptions& options)
{
    // Fibers of the round outlast it by a little; what they refer to must stay.
    auto* round = new Round (options);
    return round->run();
}

} // namespace anisehold::soak
