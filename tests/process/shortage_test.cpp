/** Attribution of calls and precedence of returning callers with sidecars as processes, which tolerate the
   loss of a zone or not. */

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "net/event_loop.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr unsigned statusOk = 200;

std::uint16_t nextBasePort()
{
    static std::uint16_t port = 17'900; // Up to 18'300; no other tests use these ports.
    port = static_cast<std::uint16_t> (port + 100);
    return port;
}

/** Makes the daemons expect the loss of a zone; called before the fleet starts. */
void tolerateZoneLoss (SidecarFleet& fleet)
{
    for (std::size_t n = 0; n < fleet.size(); ++n)
        std::ofstream (fleet.machine (n).settings_file, std::ios::app) << "[tolerate]\nzones = \"1\"\n";
}

/** Returns the value of a metric with this result; 0 if it was never counted. */
double metricOf (SidecarFleet& fleet, std::size_t machine, const std::string& name, const std::string& result)
{
    const auto text = fleet.metrics_of (machine);
    const auto line = name + "{result=\"" + result + "\"} ";
    const auto found = text.find (line);
    return found == std::string::npos ? 0 : std::stod (text.substr (found + line.size()));
}

/** Two machines of "front", whose requests call "back" four times, and two of "back". */
std::vector<SidecarMachinePlan> chain()
{
    const std::vector<lab::NestedCall> calls (4, { "back.example", "/back/1" });
    return { { "z1", "front", calls, 16, milliseconds (10) },
             { "z2", "front", calls, 16, milliseconds (10) },
             { "z1", "back", {}, 16, milliseconds (5) },
             { "z2", "back", {}, 16, milliseconds (5) } };
}

/** Sends this many requests to the first machine, one every 9 ms; returns how many were served. */
int serveMany (SidecarFleet& fleet, int count)
{
    int served = 0;
    int ended = 0;

    for (int n = 0; n < count; ++n)
    {
        net::EventLoop::spawn (
            [&, n]
            {
                const auto answer =
                    fleet.send (0, { "GET", "front.example", "/front/a", "many-" + std::to_string (n) });
                served += answer.status == statusOk ? 1 : 0;
                ++ended;
            });
        SidecarFleet::pause (milliseconds (9));
    }

    REQUIRE (fleet.eventually (seconds (10), [&] { return ended == count; }));
    return served;
}

} // namespace

TEST_CASE ("the calls of a server are matched to its runs", "[attribution]")
{
    // Guards against deadlines that the daemon records otherwise than it tells them to the server.
    SidecarFleet fleet (nextBasePort(), chain());
    tolerateZoneLoss (fleet);
    // Unlike launch(), start() sends requests of clients to "back", which then counts as a client route.
    REQUIRE (fleet.launch (configuration_text (1, { "front", "back" }, {})));
    int probes = 0;
    REQUIRE (fleet.eventually (seconds (10),
                               [&]
                               {
                                   return fleet
                                              .send (0, { "GET", "front.example", "/front/a",
                                                          "probe-" + std::to_string (++probes) })
                                              .status == statusOk;
                               }));
    // Only requests that come while the server is idle show that clients call "front".
    for (int n = 0; n < 20; ++n)
    {
        CHECK (fleet.send (0, { "GET", "front.example", "/front/a", "idle-" + std::to_string (n) }).status ==
               statusOk);
        SidecarFleet::pause (milliseconds (100));
    }

    CHECK (serveMany (fleet, 300) == 300);
    double matched = 0;
    double unmatched = 0;

    for (const std::size_t machine : { 0U, 1U })
    {
        matched += metricOf (fleet, machine, "anisehold_attributed_calls_total", "matched");
        unmatched += metricOf (fleet, machine, "anisehold_attributed_calls_total", "unmatched");
    }

    INFO ("matched " << matched << ", unmatched " << unmatched);
    CHECK (matched + unmatched >= 1'200);
    CHECK (matched > 0.8 * (matched + unmatched));
    CHECK (fleet.eventually (
        seconds (2),
        [&]
        {
            return (fleet.log_of (0) + fleet.log_of (1)).find ("\"name\":\"call-attribution\"") !=
                   std::string::npos;
        }));
}

TEST_CASE ("without a tolerated loss of a zone no call is attributed", "[attribution]")
{
    SidecarFleet fleet (nextBasePort(), chain());
    REQUIRE (fleet.start (configuration_text (1, { "front", "back" }, {})));
    CHECK (serveMany (fleet, 50) == 50);
    CHECK (metricOf (fleet, 0, "anisehold_attributed_calls_total", "matched") == 0);
    CHECK (metricOf (fleet, 0, "anisehold_attributed_calls_total", "unmatched") == 0);
    CHECK (fleet.log_of (0).find ("\"returning\"") == std::string::npos);
}

namespace
{

/** Clients that send requests with 4,250 to 5,000 ms left, and once more after a refusal. */
struct ReturningClients
{
    void send (milliseconds gap, int count)
    {
        for (int n = 0; n < count; ++n)
        {
            net::EventLoop::spawn ([this] { sendOne(); });
            SidecarFleet::pause (gap);
        }

        REQUIRE (fleet.eventually (seconds (15), [&] { return ended == sent; }));
    }

    void sendOne()
    {
        const int number = sent++;
        const auto timeLeft = milliseconds (4'250 + (number * 37) % 750);
        const auto id = "c-" + std::to_string (number);
        auto answer = fleet.send (0, { "GET", "back.example", "/back/", id, timeLeft });

        if (const auto told = answer.fields.find ("Retry-After"); answer.status != statusOk && told)
        {
            const milliseconds wait (static_cast<int> (1'000 * std::stod (std::string (*told))));
            longestWait = std::max (longestWait, wait);
            SidecarFleet::pause (wait);
            answer = fleet.send (0, { "GET", "back.example", "/back/", id + "-again", timeLeft - wait });
            ++returned;
        }

        served += answer.status == statusOk ? 1 : 0;
        ++ended;
    }

    SidecarFleet& fleet;
    int sent = 0;
    int ended = 0;
    int served = 0;
    int returned = 0;
    milliseconds longestWait{ 0 };
};

} // namespace

TEST_CASE ("callers that were refused are told a recognizable time, and are admitted at their return",
           "[returning]")
{
    // Guards against a range that isn't learned from real arrivals, and against returns that aren't
    // recognized.
    SidecarFleet fleet (nextBasePort(), { { "z1", "back", {}, 4, milliseconds (20) } });
    tolerateZoneLoss (fleet);
    auto configuration = nlohmann::json::parse (configuration_text (1, { "back" }, {}, "5000ms"));
    configuration["routes"]["route-back"]["targetLatency"] = "1500ms";
    REQUIRE (fleet.start (configuration.dump()));
    ReturningClients clients{ fleet };
    clients.send (milliseconds (40), 200);
    CHECK (clients.served == clients.sent);
    clients.send (milliseconds (3), 900);
    const auto metric = std::string ("anisehold_returning_requests_total");
    const double admitted = metricOf (fleet, 0, metric, "admitted");
    const double refused = metricOf (fleet, 0, metric, "refused");
    INFO ("served " << clients.served << " of " << clients.sent << ", returned " << clients.returned
                    << ", longest wait " << clients.longestWait.count() << " ms, returns admitted "
                    << admitted << ", refused " << refused);
    CHECK (clients.returned > 20);
    CHECK (clients.longestWait > milliseconds (760));
    CHECK (clients.longestWait <= milliseconds (1'600));
    CHECK (admitted > 0);
    CHECK (admitted > refused);
    CHECK (fleet.eventually (
        seconds (2), [&] { return fleet.log_of (0).find ("\"returning\":\"yes\"") != std::string::npos; }));
}
