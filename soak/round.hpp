/** One round of the soak test: a fleet of real processes, clients, the faults of a plan, and the checks. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "soak/plan.hpp"
#include "soak/promises.hpp"

namespace anisehold::soak
{

/** Parameters of a round. */
struct RoundOptions
{
    std::uint64_t seed = 1;
    std::uint16_t basePort = 28'000;
    std::size_t numFaults = 16;
    std::size_t numZones = 2; /**< Each zone has three machines. */
    milliseconds faultsEnd{ 10'000 };
};

/** Results of a round. */
struct RoundResult
{
    bool started = false;
    std::vector<Fault> plan;
    std::vector<BrokenPromise> broken;
    std::size_t numSent = 0;
    std::size_t numServed = 0;
    double servedAfterFaults = 0; /**< Share of the requests sent after the recovery time that were served. */
    std::string logFolder;
};

/** Runs one round on fibers of the calling thread; the fleet's processes have ended when it returns. */
RoundResult runRound (const RoundOptions&);

} // namespace anisehold::soak
