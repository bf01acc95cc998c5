/** Planned stops of sidecars as processes, under requests of very different durations. */

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "net/fiber_event.hpp"
#include "net/http_client.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr milliseconds sendInterval{ 20 };
constexpr milliseconds quickWork{ 30 };
constexpr unsigned numSlots = 250;
constexpr seconds startTimeout{ 20 };
constexpr milliseconds warmUpTime{ 500 };
/** The route's timeout is longer than the grace time of 3 s, so that it alone would allow no request. */
constexpr const char* timeout = "4000ms";
constexpr milliseconds timeLeft{ 4'500 };
/** Longer than a planned stop. */
constexpr seconds loadTime{ 4 };
/** Requests that keep a stopping process until shortly before the end of its grace time of 3 s. */
constexpr int numLongRequests = 3;
constexpr const char* longWork = "/work-2000";
/** Requests that arrive late, on idle connections; the times count from the signal. */
constexpr milliseconds firstLate{ 150 };
constexpr milliseconds lastLate{ 2'900 };
constexpr milliseconds lateInterval{ 55 };
constexpr const char* lateWork = "/work-1200";
/** Time after the signal at which the daemon accepts no connection any more, and still waits for requests. */
constexpr milliseconds listenerClosed{ 1'520 };
/** Time after the signal at which a stop without requests has ended, and one with requests hasn't. */
constexpr milliseconds quietStopEnded{ 2'000 };
/** Requests that end a stopping daemon's quiet time, and the pauses between them. */
constexpr int numSlow = 7;
constexpr milliseconds firstGap{ 137 };
constexpr milliseconds gapStep{ 8 };
/** Requests wait for a slot for a quarter of it, which is longer than the grace time. */
constexpr const char* longTargetLatency = "16s";
/** Occupies a server until after the end of a planned stop, and leaves its followers time to run. */
constexpr const char* occupyingWork = "/work-3400";
/** Longer than the grace time. */
constexpr const char* endlessWork = "/work-3900";

struct StoppingFleetOptions
{
    std::string configuration = configuration_text (1, { "front" }, { "quick", "orders" }, timeout);
    unsigned slots = numSlots;  /**< Of each server. */
    unsigned logBytes = 0;      /**< Limit of the size of each daemon's log file, unless 0. */
    bool reservesSlots = false; /**< Requests are sent to a busy server's gate only once it has a slot. */
};

/** A machine of "front", through which clients send, one of "quick" and two of "orders". */
struct StoppingFleet
{
    StoppingFleet (std::uint16_t basePort, milliseconds orderWork, const StoppingFleetOptions& options = {})
        : fleet (basePort, { machine ("front", quickWork, options), machine ("quick", quickWork, options),
                             machine ("orders", orderWork, options), machine ("orders", orderWork, options) })
    {
        REQUIRE (fleet.launch (options.configuration));
        REQUIRE (fleet.eventually (startTimeout, [this] { return fleet.is_ready (0) && allServe(); }));
    }

    /** Whether every server that clients reach through "front" has run a request. Sends enough of each kind
        for a choice among the servers. */
    bool allServe()
    {
        const auto name = "start-" + std::to_string (sent.size()) + "-";
        send (name, "quick", warmUpTime);
        send (name, "orders", warmUpTime);
        return waitForAnswers() && fleet.machine (1).server->arrivals() > 0 &&
               fleet.machine (2).server->arrivals() > 0 && fleet.machine (3).server->arrivals() > 0;
    }

    static SidecarMachinePlan machine (const std::string& service, milliseconds work,
                                       const StoppingFleetOptions& options)
    {
        SidecarMachinePlan plan;
        plan.zone = "z1";
        plan.service = service;
        plan.slots = options.slots;
        plan.tolerated_zone_losses = options.reservesSlots ? 1 : 0;
        plan.log_bytes = options.logBytes;
        plan.work = work;
        return plan;
    }

    /** One request and its answer. */
    struct Sent
    {
        std::string id;
        ClientAnswer answer;
    };

    /** Sends requests at regular intervals for `duration`, each on a connection of its own. */
    void send (const std::string& name, const std::string& service, Duration duration)
    {
        for (Duration after{}; after < duration; after += sendInterval)
        {
            auto& request = sent.emplace_back (Sent{ name + std::to_string (sent.size()), {} });
            ++pending;
            net::EventLoop::spawn (
                [this, &request, service, after]
                {
                    SidecarFleet::pause (std::chrono::duration_cast<milliseconds> (after));
                    request.answer = fleet.send (
                        0, { "POST", service + ".example", "/" + service + "/x", request.id, timeLeft });
                    --pending;
                });
        }
    }

    /** Sends one request over a client's connections, `after` this time. */
    void sendOver (net::HttpClient& client, const std::string& name, const std::string& target,
                   milliseconds after)
    {
        auto& request = sent.emplace_back (Sent{ name + std::to_string (sent.size()), {} });
        ++pending;
        net::EventLoop::spawn (
            [this, &client, &request, target, after]
            {
                SidecarFleet::pause (after);
                request.answer = fleet.send_over (
                    0, client, { "POST", "orders.example", "/orders" + target, request.id, timeLeft });
                --pending;
            });
    }

    /** Adds a client with an idle connection to the machine that clients use. */
    void addIdleClient()
    {
        auto& client = *clients.emplace_back (
            std::make_unique<net::HttpClient> (Fleet::loop().io(), fleet.machine (0).calls));
        sendOver (client, "idle-", "/x", milliseconds (0));
    }

    /** A request whose last byte is held back. */
    struct SlowRequest
    {
        net::FiberEvent isDue; /**< Set by the test to have the last byte sent. */
        net::FiberEvent hasEnded;
    };

    void sendSlowly (SlowRequest& slow, const std::string& name)
    {
        auto& request = sent.emplace_back (Sent{ name + std::to_string (sent.size()), {} });
        ++pending;
        net::EventLoop::spawn (
            [this, &slow, &request]
            {
                ClientRequest sending{ "POST", "orders.example", "/orders/x", request.id, timeLeft };
                sending.body = "order";
                sending.before_last_byte = [&slow] { slow.isDue.wait(); };
                request.answer = fleet.send (0, sending);
                slow.hasEnded.set();
                --pending;
            });
    }

    bool waitForAnswers()
    {
        return fleet.eventually (seconds (12), [this] { return pending == 0; });
    }

    /** Checks the answers to the requests with this name, and returns how many had the given status. A
       request that ran has its answer, and one that was refused has not run and is told when to return. */
    int checkAnswers (const std::string& name, unsigned status)
    {
        int found = 0;

        for (const auto& it : sent)
        {
            if (it.id.rfind (name, 0) != 0)
                continue;

            INFO (it.id << " status " << it.answer.status);
            CHECK (fleet.runs_of (it.id) == (it.answer.status == statusOk ? 1 : 0));

            if (it.answer.status == statusUnavailable)
                CHECK (it.answer.fields.find ("Retry-After").has_value());

            found += it.answer.status == status ? 1 : 0;
        }

        return found;
    }

    SidecarFleet fleet;
    std::vector<std::unique_ptr<net::HttpClient>> clients; /**< Each with connections of its own. */
    std::deque<Sent> sent;                                 /**< Fibers refer to the entries. */
    int pending = 0;
};

/** Returns the log lines of one event, in order. */
std::vector<nlohmann::json> linesOf (const std::string& log, const std::string& event)
{
    std::vector<nlohmann::json> found;
    std::istringstream lines (log);

    for (std::string line; std::getline (lines, line);)
    {
        auto parsed = nlohmann::json::parse (line);

        if (parsed.at ("name") == event)
            found.push_back (std::move (parsed));
    }

    return found;
}

} // namespace

/** Guards against orders that are taken late in a planned stop, passed on to a server, and cut when the
   process ends. */
TEST_CASE ("a stopping daemon begins only requests that it can complete", "[planned-stops]")
{
    StoppingFleet it (24'500, milliseconds (1'200));
    it.fleet.terminate (0);
    it.send ("quick-", "quick", loadTime);
    it.send ("orders-", "orders", loadTime);
    REQUIRE (it.waitForAnswers());

    // Connections are accepted for 60 % of the grace time of 3 s, and the process ends 400 ms before its end.
    CHECK (it.checkAnswers ("quick-", statusOk) >= 1'700 / sendInterval.count());
    CHECK (it.checkAnswers ("quick-", statusUnavailable) == 0);
    CHECK (it.checkAnswers ("orders-", statusOk) >= 1'000 / sendInterval.count());
    CHECK (it.checkAnswers ("orders-", statusUnavailable) > 0);
}

/** Guards against the same at the gate: orders that other daemons send to the server of a stopping machine,
    which are cut with an unknown outcome although another server could run them. */
TEST_CASE ("the gate of a stopping daemon begins only requests that it can complete", "[planned-stops]")
{
    StoppingFleet it (24'600, milliseconds (2'000));
    it.fleet.terminate (2);
    it.send ("orders-", "orders", loadTime);
    REQUIRE (it.waitForAnswers());
    CHECK (it.checkAnswers ("orders-", statusOk) == static_cast<int> (loadTime / sendInterval));
}

/** Guards against requests that arrive late in the grace time on connections that are already open, are
   passed on, and are cut when the process ends. Long requests keep the process until then. */
TEST_CASE ("a stopping daemon cuts no request that comes late on an open connection", "[planned-stops]")
{
    StoppingFleet it (27'100, quickWork);
    const auto numLate = (lastLate - firstLate) / lateInterval + 1;

    for (int n = 0; n < numLongRequests + numLate; ++n)
        it.addIdleClient();

    REQUIRE (it.waitForAnswers());
    REQUIRE (it.checkAnswers ("idle-", statusOk) == numLongRequests + numLate);

    for (int n = 0; n < numLongRequests; ++n)
        it.sendOver (*it.clients[n], "long-", longWork, milliseconds (0));

    SidecarFleet::pause (milliseconds (50));
    it.fleet.terminate (0);

    for (int n = 0; n < numLate; ++n)
        it.sendOver (*it.clients[numLongRequests + n], "late-", lateWork, firstLate + n * lateInterval);

    REQUIRE (it.waitForAnswers());
    CHECK (it.checkAnswers ("long-", statusOk) == numLongRequests);
    CHECK (it.checkAnswers ("late-", statusOk) > 0);
    CHECK (it.checkAnswers ("late-", statusUnavailable) > 0);
    CHECK (it.fleet.wait_for_exit (0, seconds (2)) == 0);
}

/** Guards against a second stop signal that ends the process at once and cuts the requests in flight. Signals
    come at the same moment as the first one, right after it, and while the daemon waits for its requests. */
TEST_CASE ("further stop signals do not shorten a planned stop", "[planned-stops]")
{
    const auto [firstSignal, basePort] =
        GENERATE (table<int, std::uint16_t> ({ { SIGTERM, 27'200 }, { SIGINT, 27'600 } }));
    StoppingFleet it (basePort, quickWork);

    for (int n = 0; n < numLongRequests; ++n)
        it.addIdleClient();

    REQUIRE (it.waitForAnswers());

    for (int n = 0; n < numLongRequests; ++n)
        it.sendOver (*it.clients[n], "long-", longWork, milliseconds (0));

    SidecarFleet::pause (milliseconds (50));
    it.fleet.signal (0, firstSignal);

    for (const int number : { SIGTERM, SIGINT, SIGHUP })
        it.fleet.signal (0, number);

    for (const auto pause : { milliseconds (50), milliseconds (450), milliseconds (800) })
    {
        SidecarFleet::pause (pause);

        for (const int number : { SIGHUP, SIGINT, SIGTERM })
            it.fleet.signal (0, number);
    }

    REQUIRE (it.waitForAnswers());
    CHECK (it.checkAnswers ("long-", statusOk) == numLongRequests);
    CHECK (it.fleet.wait_for_exit (0, seconds (3)) == 0);
}

/** Guards against requests whose last byte arrives when a stopping daemon has seen no request for a while:
   they are passed on, and cut when the process ends a few milliseconds later. Each one that the daemon takes
   delays its end, so each is sent a little longer after the one before, until the process has ended. */
TEST_CASE ("a stopping daemon cuts no request that is complete in its last moment", "[planned-stops]")
{
    StoppingFleet it (31'500, quickWork);
    std::deque<StoppingFleet::SlowRequest> slow (numSlow);

    for (auto& request : slow)
        it.sendSlowly (request, "slow-");

    SidecarFleet::pause (milliseconds (50));
    it.fleet.terminate (0);
    SidecarFleet::pause (listenerClosed);

    for (int n = 0; n < numSlow; ++n)
    {
        slow[n].isDue.set();
        slow[n].hasEnded.wait();
        SidecarFleet::pause (firstGap + n * gapStep);
    }

    REQUIRE (it.waitForAnswers());
    CHECK (it.checkAnswers ("slow-", statusOk) > 0);
    CHECK (it.fleet.wait_for_exit (0, seconds (1)) == 0);
}

/** Guards against requests that a stopping daemon is still receiving when it has seen no other request for a
    while: it ends, and closes their connections, although most of the grace time is left. */
TEST_CASE ("a stopping daemon waits for the requests that it is receiving", "[planned-stops]")
{
    StoppingFleet it (32'000, quickWork);
    StoppingFleet::SlowRequest slow;
    it.sendSlowly (slow, "slow-");
    SidecarFleet::pause (milliseconds (50));
    it.fleet.terminate (0);
    SidecarFleet::pause (quietStopEnded);
    slow.isDue.set();
    REQUIRE (it.waitForAnswers());
    CHECK (it.checkAnswers ("slow-", statusOk) == 1);
    CHECK (it.fleet.wait_for_exit (0, seconds (1)) == 0);
}

/** Two servers with one slot each, which long requests occupy, and requests that wait for them. */
struct BusyFleet : StoppingFleet
{
    BusyFleet (std::uint16_t basePort, const char* occupyingWork, bool reservesSlots)
        : StoppingFleet (basePort, quickWork, optionsOf (reservesSlots))
    {
        constexpr int numServers = 2;

        for (int n = 0; n < numServers + numWaiting; ++n)
            addIdleClient();

        REQUIRE (waitForAnswers());

        for (int n = 0; n < numServers; ++n)
            sendOver (*clients[n], "occupying-", occupyingWork, milliseconds (0));

        // By then the daemon of the clients knows that both servers are busy.
        SidecarFleet::pause (milliseconds (500));

        for (int n = 0; n < numWaiting; ++n)
            sendOver (*clients[numServers + n], "waiting-", "/x", milliseconds (0));

        SidecarFleet::pause (milliseconds (50));
    }

    static StoppingFleetOptions optionsOf (bool reservesSlots)
    {
        StoppingFleetOptions options;
        options.configuration =
            configuration_text (1, { "front" }, { "quick", "orders" }, timeout, longTargetLatency);
        options.slots = 1;
        options.reservesSlots = reservesSlots;
        return options;
    }

    static constexpr int numWaiting = 6;
};

/** Guards against requests that wait for a busy server until a stopping daemon ends: they have not run, and
    their callers get the end of the connection in place of a refusal. */
TEST_CASE ("a stopping daemon answers the requests that wait until its end", "[planned-stops]")
{
    const bool reservesSlots = GENERATE (true, false);
    BusyFleet it (reservesSlots ? 31'600 : 31'800, endlessWork, reservesSlots);
    it.fleet.terminate (0);
    REQUIRE (it.waitForAnswers());
    CHECK (it.checkAnswers ("waiting-", 0) == 0);

    // Without a reservation it is unknown here whether a request still waits at the gate of its server.
    if (reservesSlots)
        CHECK (it.checkAnswers ("waiting-", statusUnavailable) == BusyFleet::numWaiting);

    CHECK (it.fleet.wait_for_exit (0, seconds (1)) == 0);
}

/** Guards against the same at the gate: requests that wait there until the daemon ends are cut with an
   unknown outcome, although they have not run and another server has a slot soon after. */
TEST_CASE ("the gate of a stopping daemon refuses the requests that wait until its end", "[planned-stops]")
{
    BusyFleet it (31'900, occupyingWork, false);
    it.fleet.terminate (2);
    REQUIRE (it.waitForAnswers());
    CHECK (it.checkAnswers ("waiting-", statusOk) == BusyFleet::numWaiting);
    CHECK (it.fleet.wait_for_exit (2, seconds (1)) == 0);
}

/** Guards against a stop whose course can't be told from the log: which signals came, what the program was
    built from, and which requests were cut, at which server. */
TEST_CASE ("the log of a planned stop names its signals and the requests that it cuts", "[planned-stops]")
{
    StoppingFleet it (31'400, quickWork);
    it.addIdleClient();
    REQUIRE (it.waitForAnswers());
    it.sendOver (*it.clients[0], "endless-", endlessWork, milliseconds (0));
    SidecarFleet::pause (milliseconds (50));
    it.fleet.terminate (0);
    SidecarFleet::pause (milliseconds (50));
    it.fleet.signal (0, SIGINT);
    REQUIRE (it.fleet.wait_for_exit (0, seconds (4)) == 0);
    const auto log = it.fleet.log_of (0);

    const auto builds = linesOf (log, "build");
    REQUIRE (builds.size() == 1);
    CHECK (builds[0].at ("sources").get<std::string>().size() == 12);

    const auto stopping = linesOf (log, "stopping");
    REQUIRE (stopping.size() == 1);
    CHECK (stopping[0].at ("reason") == "Terminated");
    CHECK (stopping[0].at ("in_flight") == "1");

    const auto repeated = linesOf (log, "stop-signal-repeated");
    REQUIRE (repeated.size() == 1);
    CHECK (repeated[0].at ("signal") == "Interrupt");

    const auto cut = linesOf (log, "request-cut");
    REQUIRE (cut.size() == 1);
    CHECK (cut[0].at ("request_id") == it.sent.back().id);
    CHECK (cut[0].at ("place") == "ingress");
    CHECK (cut[0].at ("service") == "orders");
    CHECK (cut[0].at ("sent") == "yes");
    const auto server = cut[0].at ("server").get<std::string>();
    CHECK ((server.rfind ("i-2", 0) == 0 || server.rfind ("i-3", 0) == 0));

    REQUIRE (linesOf (log, "stopped").size() == 1);
    REQUIRE (it.waitForAnswers());
}

/** Guards against a log file that has reached the process's limit on file sizes: the next line ended the
   process with a signal, and cut its requests. */
TEST_CASE ("a daemon whose log file may not grow completes its requests", "[planned-stops]")
{
    StoppingFleetOptions options;
    options.logBytes = 4'096;
    StoppingFleet it (31'300, quickWork, options);
    it.addIdleClient();
    REQUIRE (it.waitForAnswers());
    it.sendOver (*it.clients[0], "long-", longWork, milliseconds (0));
    SidecarFleet::pause (milliseconds (50));
    it.fleet.terminate (0);
    SidecarFleet::pause (milliseconds (500));
    it.fleet.terminate (0);
    REQUIRE (it.waitForAnswers());
    CHECK (it.checkAnswers ("long-", statusOk) == 1);
    CHECK (it.fleet.wait_for_exit (0, seconds (3)) == 0);
}
