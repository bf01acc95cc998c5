/** The capacity forecast between real sidecars. */

#include <catch2/catch.hpp>
#include <sstream>

#include "tests/support/request_load.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

/** Two machines of "front", whose requests call "back" twice, one of "back", and one of a third service. */
std::vector<SidecarMachinePlan> machines (unsigned toleratedZoneLosses)
{
    SidecarMachinePlan front;
    front.zone = "z1";
    front.service = "front";
    front.calls = { { "back.example", "/back/1" }, { "back.example", "/back/2" } };
    front.slots = 64;
    front.tolerated_zone_losses = toleratedZoneLosses;
    SidecarMachinePlan back = front;
    back.service = "back";
    back.calls.clear();
    back.slots = 4;
    back.work = milliseconds (20);
    SidecarMachinePlan other = back;
    other.zone = "z2";
    other.service = "other";
    return { front, front, back, other };
}

std::uint16_t nextBasePort()
{
    static std::uint16_t port = 30'300;
    return port = static_cast<std::uint16_t> (port + 100);
}

/** Returns the value of a gauge of the service "back" at a machine; 0 if there is none. */
double gaugeOf (SidecarFleet& fleet, std::size_t machine, const std::string& name)
{
    const auto text = fleet.metrics_of (machine);
    const auto line = "\n" + name + "{service=\"back\"} ";
    const auto found = text.find (line);
    return found == std::string::npos ? 0 : std::stod (text.substr (found + line.size()));
}

constexpr const char* demand = "anisehold_forecast_demand";
constexpr const char* share = "anisehold_forecast_share";

} // namespace

TEST_CASE ("every daemon forecasts the demand for a service behind another one, and its overload",
           "[forecast]")
{
    // Guards against volumes or estimates that don't reach other machines: the machine of "other" neither has
    // clients nor calls "back". At 40 requests a second the work is 1,600 ms a second, of 4,000.
    SidecarFleet fleet (nextBasePort(), machines (1));
    REQUIRE (fleet.start (configuration_text (1, { "front", "back", "other" }, {})));
    {
        RequestLoad load (fleet, "front", 1);
        load.start (milliseconds (25));
        CHECK (fleet.eventually (seconds (15), [&] { return gaugeOf (fleet, 3, demand) > 800; }));
        CHECK (gaugeOf (fleet, 3, "anisehold_forecast_capacity") > 2'000);
        CHECK (gaugeOf (fleet, 3, share) == 1);
    }
    RequestLoad load (fleet, "front", 2);
    load.start (milliseconds (4));
    CHECK (fleet.eventually (seconds (10), [&] { return gaugeOf (fleet, 0, share) < 0.9; }));
    CHECK (fleet.eventually (seconds (2), [&]
                             { return fleet.log_of (0).find ("capacity-forecast") != std::string::npos; }));
    load.stop();
    CHECK (fleet.eventually (seconds (5), [&] { return gaugeOf (fleet, 0, share) == 1; }));
}

TEST_CASE ("without tolerated zone losses there is no forecast", "[forecast]")
{
    SidecarFleet fleet (nextBasePort(), machines (0));
    REQUIRE (fleet.start (configuration_text (1, { "front", "back", "other" }, {})));
    RequestLoad load (fleet, "front", 1);
    load.run (milliseconds (4'000), milliseconds (25));
    CHECK (fleet.metrics_of (0).find ("anisehold_forecast") == std::string::npos);
    CHECK (fleet.log_of (0).find ("capacity-forecast") == std::string::npos);
}
