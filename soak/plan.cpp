#include "soak/plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace anisehold::soak
{
namespace
{

constexpr std::array<std::string_view, numFaultKinds> faultNames{
    "process-killed",      "process-stopped",       "process-paused",
    "links-delayed",       "links-reset",           "links-silent",
    "inbound-silent",      "answers-silent",        "datagrams-lost",
    "store-link-silent",   "store-link-reset",      "store-refuses",
    "store-loses-answers", "store-silent",          "store-forgets",
    "leases-end",          "server-declines",       "server-loses-answers",
    "server-unsigned",     "server-confused",       "server-hangs",
    "server-replaced",     "configuration-changed", "server-limited",
    "server-leaving",      "process-signalled",     "configurations-in-series",
    "refusals-repeated",   "refusals-doubled",      "processes-stutter"
};

constexpr milliseconds minFaultTime{ 300 };
constexpr milliseconds maxFaultTime{ 4'000 };
/** A planned stop ends by itself and needs its whole grace time. */
constexpr milliseconds minStopTime{ 3'500 };
/** A limit is enforced only some seconds after it was first stated. */
constexpr milliseconds minLimitTime{ 6'000 };
constexpr milliseconds maxLimitTime{ 9'000 };
/** Modifies the seed for the faults that every plan contains, so that their draws are independent of the
    others. */
constexpr std::uint64_t guaranteedFaultSalt = 0x9e3779b97f4a7c15;

/** Draws a number from 0 to `n` - 1. */
std::size_t drawBelow (std::mt19937_64& random, std::size_t n)
{
    return static_cast<std::size_t> (random() % n);
}

milliseconds drawBetween (std::mt19937_64& random, milliseconds min, milliseconds max)
{
    const auto span = static_cast<std::size_t> (std::max (1LL, to_milliseconds (max - min)));
    return min + milliseconds (static_cast<long long> (drawBelow (random, span)));
}

/** Whether the fault concerns one instance of a server. */
bool needsInstance (FaultKind kind)
{
    return kind == FaultKind::serverReplaced || kind == FaultKind::serverLimited ||
           kind == FaultKind::serverLeaving;
}

/** Whether the fault makes all servers of at-most-once requests refuse. */
bool affectsRefusals (FaultKind kind)
{
    return kind == FaultKind::refusalsRepeated || kind == FaultKind::refusalsDoubled;
}

/** Whether both faults affect the same target, so that the end of one would end the other too. */
bool sharesTarget (const Fault& a, const Fault& b)
{
    const bool bothProcess = affectsProcess (a.kind) && affectsProcess (b.kind);
    const bool bothInstance = needsInstance (a.kind) && needsInstance (b.kind);

    if (affectsRefusals (a.kind) && affectsRefusals (b.kind))
        return true;

    if (bothProcess || bothInstance)
        return a.machine == b.machine;

    return a.kind == b.kind && a.machine == b.machine;
}

bool overlaps (const Fault& a, const Fault& b)
{
    return a.at < b.at + b.duration && b.at < a.at + a.duration;
}

milliseconds minDurationOf (FaultKind kind)
{
    if (kind == FaultKind::processStopped)
        return minStopTime;

    return kind == FaultKind::serverLimited ? minLimitTime : minFaultTime;
}

/** Returns a fault of this kind with a random machine, time and duration. */
Fault drawFault (std::mt19937_64& random, FaultKind kind, const PlanShape& shape)
{
    Fault fault;
    fault.kind = kind;
    fault.machine = MachineIndex (drawBelow (random, shape.numMachines));
    const auto max = kind == FaultKind::serverLimited ? maxLimitTime : maxFaultTime;
    fault.duration = drawBetween (random, minDurationOf (kind), max);
    fault.at = drawBetween (random, milliseconds (0), shape.faultsEnd - fault.duration);
    return fault;
}

void addUnlessConflicting (std::vector<Fault>& plan, const Fault& fault)
{
    const auto conflicts = [&] (const Fault& it) { return sharesTarget (it, fault) && overlaps (it, fault); };

    if (std::none_of (plan.begin(), plan.end(), conflicts))
        plan.push_back (fault);
}

} // namespace

std::string_view nameOf (FaultKind kind)
{
    return faultNames.at (static_cast<std::size_t> (kind));
}

bool affectsProcess (FaultKind kind)
{
    return kind == FaultKind::processKilled || kind == FaultKind::processStopped ||
           kind == FaultKind::processPaused || kind == FaultKind::processSignalled;
}

std::vector<Fault> drawPlan (std::uint64_t seed, const PlanShape& shape)
{
    std::mt19937_64 random (seed);
    std::vector<Fault> plan;

    for (std::size_t n = 0; n < shape.numFaults; ++n)
    {
        const auto kind =
            static_cast<FaultKind> (drawBelow (random, static_cast<std::size_t> (firstGuaranteedKind)));
        addUnlessConflicting (plan, drawFault (random, kind, shape));
    }

    std::mt19937_64 guaranteedRandom (seed ^ guaranteedFaultSalt);

    for (auto n = static_cast<std::size_t> (firstGuaranteedKind); n < numFaultKinds; ++n)
        addUnlessConflicting (plan, drawFault (guaranteedRandom, static_cast<FaultKind> (n), shape));

    std::stable_sort (plan.begin(), plan.end(), [] (const Fault& a, const Fault& b) { return a.at < b.at; });
    return plan;
}

std::string describe (const Fault& fault)
{
    return std::string (nameOf (fault.kind)) + " machine-" + std::to_string (fault.machine.value) + " at " +
           std::to_string (fault.at.count()) + " ms for " + std::to_string (fault.duration.count()) + " ms";
}

} // namespace anisehold::soak
