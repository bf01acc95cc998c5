/** Servers that restart under the same name, distinguished by their start time. */

#include <catch2/catch.hpp>

#include "tests/support/fleet.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr unsigned statusOk = 200;
/** One heartbeat interval, and the time until the resulting record reaches the peers. */
constexpr milliseconds settleTime{ 2'000 };

/** Two machines of "front", one of "back". */
std::vector<SidecarMachinePlan> machines()
{
    SidecarMachinePlan front;
    front.zone = "z1";
    front.service = "front";
    SidecarMachinePlan back = front;
    back.service = "back";
    back.keeps_instance = true;
    return { front, front, back };
}

std::uint16_t nextBasePort()
{
    static std::uint16_t port = 31'200;
    return port = static_cast<std::uint16_t> (port + 100);
}

bool isServed (SidecarFleet& fleet, const std::string& id)
{
    return fleet.send (0, { "GET", "back.example", "/back/x", id }).status == statusOk;
}

} // namespace

TEST_CASE ("a server that left or crashed takes requests after a restart", "[starts]")
{
    SidecarFleet fleet (nextBasePort(), machines());
    REQUIRE (fleet.start (configuration_text (1, { "front", "back" }, {})));
    auto& server = *fleet.machine (2).server;
    int n = 0;
    const auto servesAgain = [&]
    { return fleet.eventually (settleTime, [&] { return isServed (fleet, "r-" + std::to_string (++n)); }); };

    SECTION ("the server left")
    {
        server.leave();
    }
    SECTION ("the server was draining")
    {
        REQUIRE (server.drain());
    }
    SECTION ("the server crashed with nothing running") {}

    server.crash();
    REQUIRE (fleet.eventually (settleTime, [&] { return ! isServed (fleet, "g-" + std::to_string (++n)); }));
    REQUIRE (fleet.eventually (seconds (10), [&] { return server.is_up(); }));
    CHECK (servesAgain());
}

TEST_CASE ("invalid heartbeats do not affect a registered server", "[starts]")
{
    SidecarFleet fleet (nextBasePort(), machines());
    REQUIRE (fleet.start (configuration_text (1, { "front", "back" }, {})));
    const std::string intact =
        R"("address":"127.0.0.1:1","information":{"service":"back","zone":"z1","slots":1})";
    const std::vector<std::string> bodies{
        "",
        "\xff\xfe not json",
        "[]",
        "{}",
        R"({"address":7,"information":{},"status":{}})",
        R"({"address":"127.0.0.1:1","information":{"service":"back","zone":"z1","slots":"many"},"status":{}})",
        R"({"born":"x",)" + intact + R"(,"status":{"state":"ready","sequence":99}})",
        R"({"born":1,)" + intact + R"(,"status":{"state":"sleeping","sequence":99}})",
    };
    int served = 0;

    for (int n = 0; n < 100; ++n)
    {
        const auto& body = bodies[static_cast<std::size_t> (n) % bodies.size()];
        const auto status = fleet.machine (2).server->write_entry (n % 2 == 0 ? "i-2" : "other", body);
        CHECK (status == 400);
        served += isServed (fleet, "r-" + std::to_string (n)) ? 1 : 0;
    }

    CHECK (served == 100);
    const auto log = fleet.log_of (2);
    std::size_t numLogged = 0;

    for (auto at = log.find ("heartbeat-refused"); at != std::string::npos;
         at = log.find ("heartbeat-refused", at + 1))
        ++numLogged;

    CHECK (numLogged == 2);
    CHECK (log.find ("sleeping") == std::string::npos);
}

TEST_CASE ("an unreadable item of the store does not hide the others", "[starts]")
{
    SidecarFleet fleet (nextBasePort(), machines());
    REQUIRE (fleet.start (configuration_text (1, { "front", "back" }, {})));
    fleet.store().put_unreadable ("anisehold/members/0-another");
    fleet.store().put_unreadable ("anisehold/verdicts/00");

    // A daemon that starts now learns of its peers only by the listing.
    fleet.kill (0);
    fleet.start_sidecar (0);
    CHECK (fleet.eventually (seconds (4), [&] { return fleet.is_ready (0) && isServed (fleet, "r"); }));
    CHECK (fleet.eventually (settleTime, [&]
                             { return fleet.log_of (0).find ("store-items-refused") != std::string::npos; }));
}
