/** One round of the soak: a fleet of real processes, clients, the faults of a plan, and the checks. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "soak/plan.hpp"
#include "soak/promises.hpp"

namespace anisehold::soak
{

/** What a round is run with. */
struct RoundOptions
{
    std::uint64_t seed = 1;
    std::uint16_t basePort = 28'000;
    std::size_t numFaults = 16;
    std::size_t numZones = 2; /**< With three machines each. */
    milliseconds faultsEnd{ 10'000 };
};

/** What a round showed. */
struct RoundResult
{
    bool started = false;
    std::vector<Fault> plan;
    std::vector<BrokenPromise> broken;
    std::size_t numSent = 0;
    std::size_t numServed = 0;
    double servedAfterFaults = 0; /**< Share of the requests sent after the time of recovery. */
    std::string logFolder;
};

/** Runs one round on fibers of the calling thread; the fleet's processes have ended when it returns. */
RoundResult runRound (const RoundOptions&);

} // namespace anisehold::soak
