/** A server whose responses announce that it is leaving gets no new requests from the machines that
    forwarded such a response. */
#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fleet.hpp"
#include "tests/support/request_load.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr std::size_t numMachines = 6;
/** Machine whose server leaves. */
constexpr std::size_t leavingMachine = 4;
constexpr milliseconds gap{ 10 };
/** Time after such a response in which requests from clients may still reach the server. */
constexpr milliseconds drainTimeout{ 500 };

std::vector<SidecarMachinePlan> machines()
{
    std::vector<SidecarMachinePlan> plans;

    for (std::size_t n = 0; n < numMachines; ++n)
    {
        SidecarMachinePlan plan;
        plan.zone = n % 2 == 0 ? "z1" : "z2";
        plan.service = n < 3 ? "front" : "back";
        plan.slots = 16;
        plan.work = milliseconds (30);
        plan.keeps_instance = true;
        plans.push_back (plan);
    }

    return plans;
}

std::uint16_t nextBasePort()
{
    static std::uint16_t port = 31'700;
    return port = static_cast<std::uint16_t> (port + 100);
}

/** A fleet under load with a server that leaves. Records which machines received the announcement. */
struct LeavingFleet
{
    LeavingFleet()
        : fleet (nextBasePort(), machines()),
          load (fleet, "back", 7)
    {
        REQUIRE (fleet.start (configuration_text (1, { "front", "back" }, {})));
        server().observe (
            [seen = arrivals] (const lab::ServerArrival& it) {
                seen->push_back ({ it.id, TimePoint::clock::now() });
            });
        load.observe_answers (
            [this] (const LoadRequest& it)
            {
                if (it.answer.fields.find ("Server-Leaving"))
                    informed.emplace (it.machine, TimePoint::clock::now());
            });
    }

    lab::PlatformServer& server() { return *fleet.machine (leavingMachine).server; }

    /** Announces in the server's responses that it leaves, and waits until every machine has received the
        announcement. */
    void leave()
    {
        server().faults.says_leaving = true;
        fleet.eventually (seconds (2), [this] { return informed.size() == numMachines; });
        WARN ("machines told: " << informed.size());
        CHECK_FALSE (informed.empty());
    }

    /** Number of arrived requests that clients sent more than `drainTimeout` after their machine had
        received the announcement. */
    std::size_t numLate() const
    {
        std::size_t late = 0;

        for (const auto& arrival : *arrivals)
        {
            const auto request = std::find_if (load.requests().begin(), load.requests().end(),
                                               [&] (const auto& each) { return each->id == arrival.id; });

            if (request == load.requests().end())
                continue;

            const auto since = informed.find ((*request)->machine);
            const bool isLate = since != informed.end() && (*request)->sent > since->second + drainTimeout;
            late += isLate ? 1 : 0;
        }

        return late;
    }

    std::size_t numArrived (TimePoint since) const
    {
        return static_cast<std::size_t> (std::count_if (arrivals->begin(), arrivals->end(),
                                                        [&] (const auto& it) { return it.at >= since; }));
    }

    struct Arrival
    {
        std::string id;
        TimePoint at;
    };

    SidecarFleet fleet;
    std::map<std::size_t, TimePoint>
        informed; /**< Time of the first such response to a client of the machine. */
    RequestLoad load;
    std::shared_ptr<std::vector<Arrival>> arrivals = std::make_shared<std::vector<Arrival>>();
};

} // namespace

TEST_CASE (
    "a server that announces in responses that it leaves gets no more requests, whatever its heartbeats",
    "[leaving-answers]")
{
    LeavingFleet it;
    const auto begin = TimePoint::clock::now();
    it.load.start (gap);
    boost::this_fiber::sleep_for (milliseconds (1'000));

    SECTION ("in touch") {}
    SECTION ("cut from the store")
    {
        it.fleet.store().faults.refuses = true;
    }

    it.leave();
    boost::this_fiber::sleep_for (milliseconds (4'000));
    it.load.stop();
    CHECK (it.numLate() == 0);
    CHECK (it.load.served_share (begin) >= 0.99);
}

TEST_CASE ("an announcement survives a restart of the daemon at the leaving server", "[leaving-answers]")
{
    LeavingFleet it;
    it.load.start (gap);
    boost::this_fiber::sleep_for (milliseconds (1'000));
    it.leave();
    it.fleet.kill (leavingMachine);
    it.fleet.start_sidecar (leavingMachine);
    it.informed.erase (leavingMachine);
    boost::this_fiber::sleep_for (milliseconds (4'000));
    it.load.stop();
    CHECK (it.numLate() == 0);
}

TEST_CASE ("a server that left is used again as soon as it has restarted under its id", "[leaving-answers]")
{
    LeavingFleet it;
    it.load.start (gap);
    boost::this_fiber::sleep_for (milliseconds (1'000));
    it.leave();
    it.server().faults.says_leaving = false;
    it.server().crash();
    REQUIRE (it.fleet.eventually (seconds (10), [&] { return it.server().is_up(); }));
    const auto back = TimePoint::clock::now();
    CHECK (it.fleet.eventually (seconds (2), [&] { return it.numArrived (back) > 5; }));
    it.load.stop();
}
