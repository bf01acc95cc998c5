/// @file
/// A machine of "front", through which clients send, and one of "pay" whose server is scripted.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "soak/machine_links.hpp"
#include "tests/support/fleet.hpp"
#include "tests/support/scripted_server.hpp"
#include "tests/support/sidecar_fleet.hpp"

namespace anisehold::testing {

/// Index of the machine of "pay".
inline constexpr std::size_t kPayMachine = 1;

struct ScriptedFleet {
    /// Starts both machines with `configuration`, and then the server that follows `script` in place of that
    /// of "pay". `tolerated_zone_losses` and `memory_megabytes` are settings of both machines.
    ScriptedFleet(std::uint16_t base_port, const std::string& configuration, Script script,
                  unsigned tolerated_zone_losses = 0, unsigned memory_megabytes = 0)
        : fleet(base_port, plans(tolerated_zone_losses, memory_megabytes)),
          server(*new ScriptedServer(Fleet::loop().io())) {  // Its fibers outlive the test.
        auto started = soak::startMachineLinks(fleet, kPayMachine);
        REQUIRE(started);
        links = std::move(*started);
        REQUIRE(fleet.start(configuration));
        links.server.reset();  // The scripted server takes its address.
        server.script = std::move(script);
        REQUIRE_FALSE(server.start(fleet.machine(kPayMachine).links.server_link));
    }

    static std::vector<SidecarMachinePlan> plans(unsigned tolerated_zone_losses, unsigned memory_megabytes) {
        SidecarMachinePlan front{"z1", "front", {}, 16, milliseconds(5)};
        SidecarMachinePlan pay{"z1", "pay", {}, 16, milliseconds(5), true};
        front.tolerated_zone_losses = tolerated_zone_losses;
        pay.tolerated_zone_losses = tolerated_zone_losses;
        front.memory_megabytes = memory_megabytes;
        pay.memory_megabytes = memory_megabytes;
        return {front, pay};
    }

    SidecarFleet fleet;
    soak::MachineLinkSet links;
    ScriptedServer& server;
};

}  // namespace anisehold::testing
