/** What was seen: the four servers of one service ended, one after the other, within a second or so; again as
   soon as they were back, twelve times in eighty seconds, and while they were gone every request for the
   service was refused. Other services were untouched. Under each of two requests 16 and 18 servers ended,
   and they were sent to servers 7 and 10 times more after the third.

    Order of events: a request comes, and its server ends 40 ms later; with it all that it was running. The
    daemon near the caller takes the broken connection for a failed attempt and sends the request to a second
    server, which ends too. Its caller gets 502 and comes back at another machine, where nothing is known of
   it; two more servers end. Seconds later it comes again.

    Cause: what ran at a server when it ended was known to nobody. A broken connection was one attempt's
   failure, and nothing that one daemon learned of a request outlived that request or reached another daemon.

    Before the repair, one run each: 20 crashes in 14 s, 12 late arrivals, others served 0.12 from the third
   crash on. After it 3 crashes, none late, others 1.000, in three runs of three.

    Evidence: each end of a server has its digests in the line `server-crashed` of the daemon beside it; the
    ends of the run below have one digest in common.
*/
#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "net/event_loop.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr unsigned statusOk = 200;
constexpr const char* fatalTarget = "/back/fatal-0";
/** How long a verdict may take to be known everywhere, from the third crash on. */
constexpr milliseconds spreadTime{ 3'000 };
constexpr std::size_t numMachines = 7;

/** Three machines of "front" and four of "back", whose servers take 30 ms. */
std::vector<SidecarMachinePlan> machines (bool keepsInstance)
{
    const milliseconds work (30);
    std::vector<SidecarMachinePlan> plans;

    for (std::size_t n = 0; n < numMachines; ++n)
    {
        SidecarMachinePlan plan;
        plan.zone = n % 2 == 0 ? "z1" : "z2";
        plan.service = n < 3 ? "front" : "back";
        plan.slots = 16;
        plan.work = work;
        plan.keeps_instance = keepsInstance;
        plans.push_back (plan);
    }

    return plans;
}

/** Clients that send requests at all machines, and send a failed one once more, at once, elsewhere. */
class Traffic
{
public:
    Traffic (SidecarFleet& fleetToUse, unsigned seed)
        : fleet (fleetToUse),
          random (seed)
    {
    }

    /** One request, with its retry. True if it was served. */
    bool request (const std::string& target)
    {
        bool served = false;

        for (int tries = 0; tries < 2 && ! served; ++tries)
        {
            const auto id = "r-" + std::to_string (++numSent);
            const auto numMachines = target == fatalTarget ? numFatalMachines : fleet.size();
            const auto machine = std::uniform_int_distribution<std::size_t> (0, numMachines - 1) (random);
            served = fleet.send (machine, { "GET", "back.example", target, id }).status == statusOk;
        }

        return served;
    }

    /** The same in a fiber of its own; `then` gets whether it was served. */
    void spawnRequest (const std::string& target, std::function<void (bool)> then = {})
    {
        ++numUnderWay;
        net::EventLoop::spawn (
            [this, target, then]
            {
                const bool served = request (target);

                if (then)
                    then (served);

                --numUnderWay;
            });
    }

    /** Sends a new ordinary request every `gap` until `end`. */
    void sendOrdinary (TimePoint end, milliseconds gap)
    {
        while (TimePoint::clock::now() < end)
        {
            const auto sent = TimePoint::clock::now();
            spawnRequest ("/back/plain-" + std::to_string (++numOrdinary),
                          [this, sent] (bool served) {
                              results.push_back ({ sent, served });
                          });
            boost::this_fiber::sleep_for (gap);
        }
    }

    /** Share of the ordinary requests sent after `since` that were served. */
    double servedShare (TimePoint since) const
    {
        const auto isLater = [&] (const Result& it) { return it.sent >= since; };
        const auto all = std::count_if (results.begin(), results.end(), isLater);
        const auto good = std::count_if (results.begin(), results.end(),
                                         [&] (const Result& it) { return isLater (it) && it.served; });
        return all > 0 ? static_cast<double> (good) / static_cast<double> (all) : 0;
    }

    int numUnderWay = 0;
    /** The fatal request comes at the first so many machines; by default those of one service, so that it has
        one caller. */
    std::size_t numFatalMachines = 3;

private:
    struct Result
    {
        TimePoint sent;
        bool served = false;
    };

    SidecarFleet& fleet;
    std::mt19937 random;
    std::vector<Result> results;
    int numSent = 0;
    int numOrdinary = 0;
};

/** What became of one fatal request at servers. */
struct FatalRecord
{
    std::vector<TimePoint> arrivals;
    std::vector<TimePoint> crashes;

    /** Those that came when the third crash had been known for long. */
    std::size_t numLate() const
    {
        if (crashes.size() < 3)
            return 0;

        const auto since = crashes[2] + spreadTime;
        return static_cast<std::size_t> (
            std::count_if (arrivals.begin(), arrivals.end(), [&] (TimePoint it) { return it > since; }));
    }
};

/** The servers' fibers outlast the test, and with them the record. */
std::shared_ptr<FatalRecord> observe (SidecarFleet& fleet)
{
    auto record = std::make_shared<FatalRecord>();

    for (std::size_t n = 0; n < fleet.size(); ++n)
    {
        auto& server = *fleet.machine (n).server;
        server.faults.fatal_target = fatalTarget;
        server.observe_crashes ([record] { record->crashes.push_back (TimePoint::clock::now()); });
        server.observe (
            [record] (const lab::ServerArrival& it)
            {
                if (it.target == fatalTarget)
                    record->arrivals.push_back (TimePoint::clock::now());
            });
    }

    return record;
}

/** Ordinary requests for `time`, and the fatal one every 700 ms among them. */
void run (Traffic& traffic, milliseconds time)
{
    const auto end = TimePoint::clock::now() + time;
    net::EventLoop::spawn ([&traffic, end] { traffic.sendOrdinary (end, milliseconds (10)); });

    while (TimePoint::clock::now() < end)
    {
        boost::this_fiber::sleep_for (milliseconds (700));
        traffic.spawnRequest (fatalTarget);
    }

    poll_until (seconds (10), [&] { return traffic.numUnderWay == 0; });
}

/** A started fleet whose servers end under the fatal request, and its clients. */
struct FatalFleet
{
    FatalFleet (std::uint16_t basePort, unsigned seed, bool keepsInstance = false)
        : fleet (basePort, machines (keepsInstance)),
          traffic (fleet, seed)
    {
        REQUIRE (fleet.start (configuration_text (1, { "front", "back" }, {})));
        record = observe (fleet);
    }

    /** Runs the traffic until at least three servers have crashed. */
    void crashThree (milliseconds time)
    {
        run (traffic, time);
        REQUIRE (record->crashes.size() >= 3);
    }

    void showCounts() const
    {
        WARN ("crashes " << record->crashes.size() << ", late arrivals " << record->numLate());
    }

    SidecarFleet fleet;
    Traffic traffic;
    std::shared_ptr<FatalRecord> record;
};

} // namespace

TEST_CASE ("a request that crashes each server that begins it crashes three at most", "[fatal]")
{
    const bool keepsInstance = GENERATE (false, true);
    CAPTURE (keepsInstance);
    FatalFleet it (keepsInstance ? 30'200 : 30'800, 1, keepsInstance);
    it.crashThree (seconds (14));
    it.showCounts();
    const double served = it.traffic.servedShare (it.record->crashes[2]);
    WARN ("others served " << served << " from the third crash on");
    CHECK (it.record->numLate() <= 3);
    CHECK (it.record->crashes.size() <= 3);
    CHECK (served >= 0.95);
}

TEST_CASE ("a fatal request of several callers crashes one server more at most", "[fatal]")
{
    FatalFleet it (31'100, 5);
    it.traffic.numFatalMachines = it.fleet.size();
    it.crashThree (seconds (10));
    it.showCounts();
    // A second caller's like request may be harmless, and is tried once.
    CHECK (it.record->crashes.size() <= 4);
    CHECK (it.record->numLate() <= 3);
}

TEST_CASE ("what is known of such a request outlasts a kill of all daemons", "[fatal]")
{
    FatalFleet it (30'400, 2);
    it.crashThree (seconds (7));

    for (std::size_t n = 0; n < it.fleet.size(); ++n)
        it.fleet.kill (n);

    for (std::size_t n = 0; n < it.fleet.size(); ++n)
        it.fleet.start_sidecar (n);

    run (it.traffic, seconds (7));
    it.showCounts();
    CHECK (it.record->numLate() <= 3);
    CHECK (it.record->crashes.size() <= 3);
}

TEST_CASE ("an operator sees the verdict at any daemon, and lifts it for all", "[fatal]")
{
    FatalFleet it (31'000, 4);
    it.crashThree (seconds (4));
    auto& fleet = it.fleet;
    auto& traffic = it.traffic;
    std::string listed;
    REQUIRE (fleet.eventually (spreadTime,
                               [&]
                               {
                                   listed = fleet.fetch_from_admin_address (0, "GET", "/suspects/");
                                   return listed.find ("crashes=3 condemned") != std::string::npos;
                               }));
    const auto digest = listed.substr (0, listed.find (' '));
    const auto metrics = fleet.metrics_of (0);
    CHECK (metrics.find ("anisehold_suspects{state=\"condemned\"} 1") != std::string::npos);
    CHECK (fleet.fetch_from_admin_address (0, "DELETE", "/suspects/x").empty());

    // The new version of the service bears it.
    for (std::size_t n = 0; n < fleet.size(); ++n)
        fleet.machine (n).server->faults.fatal_target.clear();

    CHECK_FALSE (traffic.request (fatalTarget));
    CHECK (fleet.fetch_from_admin_address (0, "DELETE", "/suspects/" + digest) == "lifted\n");
    CHECK (fleet.eventually (spreadTime, [&] { return traffic.request (fatalTarget); }));
}

TEST_CASE ("servers that crash of themselves condemn no request", "[fatal]")
{
    SidecarFleet fleet (30'600, machines (false));
    REQUIRE (fleet.start (configuration_text (1, { "front", "back" }, {})));
    Traffic traffic (fleet, 3);
    const auto begin = TimePoint::clock::now();
    net::EventLoop::spawn (
        [&]
        {
            for (std::size_t n = 0; n < 6; ++n)
            {
                boost::this_fiber::sleep_for (milliseconds (1'500));
                fleet.machine (3 + n % 4).server->crash();
            }
        });
    traffic.sendOrdinary (begin + seconds (10), milliseconds (10));
    REQUIRE (poll_until (seconds (10), [&] { return traffic.numUnderWay == 0; }));
    WARN ("served " << traffic.servedShare (begin));
    CHECK (traffic.servedShare (begin) >= 0.995);

    for (std::size_t n = 0; n < fleet.size(); ++n)
        CHECK (fleet.log_of (n).find ("request-condemned") == std::string::npos);
}
