#include "soak/plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace anisehold::soak
{
namespace
{

constexpr std::array<std::string_view, numFaultKinds> faultNames{
    "process-killed",   "process-stopped", "process-paused",       "links-delayed",   "links-reset",
    "links-silent",     "inbound-silent",  "answers-silent",       "datagrams-lost",  "store-link-silent",
    "store-link-reset", "store-refuses",   "store-loses-answers",  "store-silent",    "store-forgets",
    "leases-end",       "server-declines", "server-loses-answers", "server-unsigned", "server-confused",
    "server-hangs",     "server-replaced", "configuration-changed"
};

constexpr milliseconds shortestFault{ 300 };
constexpr milliseconds longestFault{ 4'000 };
/** A planned stop ends by itself; it needs its whole grace time. */
constexpr milliseconds leastStop{ 3'500 };

/** Draws from 0 to `n` - 1. */
std::size_t drawBelow (std::mt19937_64& random, std::size_t n)
{
    return static_cast<std::size_t> (random() % n);
}

milliseconds drawBetween (std::mt19937_64& random, milliseconds least, milliseconds most)
{
    const auto span = static_cast<std::size_t> (std::max (1LL, to_milliseconds (most - least)));
    return least + milliseconds (static_cast<long long> (drawBelow (random, span)));
}

/** Whether both act on the same thing, so that the end of one would end the other too. */
bool sharesTarget (const Fault& a, const Fault& b)
{
    if (strikesProcess (a.kind) && strikesProcess (b.kind))
        return a.machine == b.machine;

    return a.kind == b.kind && a.machine == b.machine;
}

bool overlaps (const Fault& a, const Fault& b)
{
    return a.at < b.at + b.lasts && b.at < a.at + a.lasts;
}

} // namespace

std::string_view nameOf (FaultKind kind)
{
    return faultNames.at (static_cast<std::size_t> (kind));
}

bool strikesProcess (FaultKind kind)
{
    return kind == FaultKind::processKilled || kind == FaultKind::processStopped ||
           kind == FaultKind::processPaused;
}

std::vector<Fault> drawPlan (std::uint64_t seed, const PlanShape& shape)
{
    std::mt19937_64 random (seed);
    std::vector<Fault> plan;

    for (std::size_t n = 0; n < shape.numFaults; ++n)
    {
        Fault fault;
        fault.kind = static_cast<FaultKind> (drawBelow (random, numFaultKinds));
        fault.machine = MachineIndex (drawBelow (random, shape.numMachines));
        const auto least = fault.kind == FaultKind::processStopped ? leastStop : shortestFault;
        fault.lasts = drawBetween (random, least, longestFault);
        fault.at = drawBetween (random, milliseconds (0), shape.faultsEnd - fault.lasts);

        const auto clashes = [&] (const Fault& it)
        { return sharesTarget (it, fault) && overlaps (it, fault); };

        if (std::any_of (plan.begin(), plan.end(), clashes))
            continue;

        plan.push_back (fault);
    }

    std::stable_sort (plan.begin(), plan.end(), [] (const Fault& a, const Fault& b) { return a.at < b.at; });
    return plan;
}

std::string describe (const Fault& fault)
{
    return std::string (nameOf (fault.kind)) + " machine-" + std::to_string (fault.machine.value) + " at " +
           std::to_string (fault.at.count()) + " ms for " + std::to_string (fault.lasts.count()) + " ms";
}

} // namespace anisehold::soak
