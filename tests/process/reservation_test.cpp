/** Slot reservation between sidecars as processes: requests that wait at a gate while its daemon ends or
   falls silent. */

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "soak/machine_links.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr std::size_t lostMachine = 1;
constexpr int numRequests = 48;
/** Three gates run 7 requests of 60 ms at once each, so more than half of the requests wait. With less than 8
    slots a gate grants none ahead of free slots: such a request is sent before it has a slot, and if its gate
    ends at that moment it may have run, as far as anyone can tell. */
constexpr unsigned numSlots = 7;
constexpr milliseconds workTime{ 60 };
constexpr milliseconds timeLeft{ 900 };

/** A machine of "front", through which clients send, and three machines of "pay". */
struct PayFleet
{
    explicit PayFleet (std::uint16_t basePort, bool isLinked = false)
        : fleet (basePort, { machine ("front"), machine ("pay", isLinked), machine ("pay"), machine ("pay") })
    {
        if (isLinked)
            startLinks();

        REQUIRE (fleet.start (configuration_text (1, { "front" }, { "pay" })));
    }

    static SidecarMachinePlan machine (const std::string& service, bool isLinked = false)
    {
        SidecarMachinePlan plan{ "z1", service, {}, numSlots, workTime, isLinked };
        plan.tolerated_zone_losses = 1;
        return plan;
    }

    /** Starts the forwarders of the links of the lost machine. */
    void startLinks()
    {
        auto started = soak::startMachineLinks (fleet, lostMachine);
        REQUIRE (started);
        links = std::move (*started);
    }

    /** Sends all requests at once; `answers` fills up meanwhile. */
    void sendAll (const std::string& name)
    {
        for (int n = 0; n < numRequests; ++n)
        {
            const auto id = name + std::to_string (n);
            ids.push_back (id);
            net::EventLoop::spawn (
                [this, id] {
                    answers[id] = fleet.send (0, { "POST", "pay.example", "/pay/x", id, timeLeft });
                });
        }
    }

    /** Waits for all answers and checks what callers were told. */
    void checkAnswers()
    {
        REQUIRE (fleet.eventually (seconds (5), [this] { return answers.size() == ids.size(); }));
        int served = 0;

        for (const auto& id : ids)
        {
            const auto status = answers.at (id).status;
            const auto runs = fleet.runs_of (id);
            INFO (id << " status " << status << " runs " << runs);
            CHECK (runs <= 1);
            served += status == statusOk ? 1 : 0;

            if (status == statusUnavailable)
            {
                CHECK (runs == 0);
                CHECK (answers.at (id).fields.find ("Retry-After").has_value());
            }

            // A request that reached no server must not be reported as one that may have run.
            if (status != statusOk && status != statusUnavailable)
                CHECK (runs == 1);
        }

        CHECK (served >= numRequests / 3);
    }

    SidecarFleet fleet;
    soak::MachineLinkSet links;
    std::vector<std::string> ids;
    std::map<std::string, ClientAnswer> answers;
};

} // namespace

/** Guards against 504 for requests that were queued at a gate when its daemon was paused: without reservation
    nobody can tell that they have not run. */
TEST_CASE ("requests that wait at a gate that falls silent are served elsewhere or refused as not run",
           "[reservation]")
{
    PayFleet pay (24'000);
    pay.sendAll ("frozen-");
    SidecarFleet::pause (milliseconds (30));
    pay.fleet.freeze (lostMachine);
    pay.checkAnswers();
    // What waits in the sockets of the paused daemon must not run after the callers were told.
    pay.fleet.thaw (lostMachine);
    SidecarFleet::pause (milliseconds (500));

    for (const auto& id : pay.ids)
    {
        INFO (id);
        CHECK (pay.fleet.runs_of (id) <= 1);
        CHECK ((pay.answers.at (id).status != statusUnavailable || pay.fleet.runs_of (id) == 0));
    }

    CHECK (pay.fleet.metrics_of (0).find ("anisehold_reservations_total{result=\"timed-out\"}") !=
           std::string::npos);
}

/** Guards against 502 for requests that were queued at a gate when its daemon was killed. */
TEST_CASE ("requests that wait at a gate that is killed are served elsewhere or refused as not run",
           "[reservation]")
{
    PayFleet pay (24'100);
    pay.sendAll ("killed-");
    SidecarFleet::pause (milliseconds (30));
    pay.fleet.kill (lostMachine);
    pay.checkAnswers();
}

/** Guards against 504 for requests whose grant is lost: replies of the gate no longer arrive, but messages to
   it do. Only a request that has begun may end without an outcome. */
TEST_CASE ("requests that wait at a gate whose replies are lost are served elsewhere or refused as not run",
           "[reservation]")
{
    PayFleet pay (24'300, true);
    pay.sendAll ("deaf-");
    SidecarFleet::pause (milliseconds (30));
    soak::LinkBehaviour repliesLost;
    repliesLost.toCallerSilent = true;
    pay.links.hops->setBehaviour (repliesLost);
    pay.checkAnswers();
}

/** Guards against requests that are lost in the queue of a daemon that stops as planned. */
TEST_CASE ("requests that wait at a gate whose daemon stops as planned are served or refused as not run",
           "[reservation]")
{
    PayFleet pay (24'400);
    pay.sendAll ("stopped-");
    SidecarFleet::pause (milliseconds (30));
    pay.fleet.terminate (lostMachine);
    pay.checkAnswers();
    const auto isSettled = [] (const auto& it)
    { return it.second.status == statusOk || it.second.status == statusUnavailable; };
    CHECK (std::all_of (pay.answers.begin(), pay.answers.end(), isSettled));
}

/** Guards against slots that stay occupied: after a load with reservations the gates serve as many requests
   as before. */
TEST_CASE ("gates are empty after a load with reservations", "[reservation]")
{
    PayFleet pay (24'200);
    pay.sendAll ("load-");
    pay.checkAnswers();
    const auto isEmpty = [&] (std::size_t machine)
    {
        const auto text = pay.fleet.metrics_of (machine);
        return text.find ("anisehold_gate_in_flight{server=\"i-" + std::to_string (machine) + "\"} 0\n") !=
                   std::string::npos &&
               text.find ("anisehold_gate_queued{server=\"i-" + std::to_string (machine) + "\"} 0\n") !=
                   std::string::npos;
    };
    CHECK (pay.fleet.eventually (seconds (2), [&] { return isEmpty (1) && isEmpty (2) && isEmpty (3); }));
    CHECK (pay.fleet.metrics_of (0).find ("anisehold_reservations_total{result=\"granted\"}") !=
           std::string::npos);
}
