#include "soak/plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace anisehold::soak
{
namespace
{

constexpr std::array<std::string_view, numFaultKinds> faultNames{
    "process-killed",      "process-stopped",      "process-paused",          "links-delayed",
    "links-reset",         "links-silent",         "inbound-silent",          "answers-silent",
    "datagrams-lost",      "store-link-silent",    "store-link-reset",        "store-refuses",
    "store-loses-answers", "store-silent",         "store-forgets",           "leases-end",
    "server-declines",     "server-loses-answers", "server-unsigned",         "server-confused",
    "server-hangs",        "server-replaced",      "configuration-changed",   "server-limited",
    "server-leaving",      "process-signalled",    "configurations-in-series"
};

constexpr milliseconds shortestFault{ 300 };
constexpr milliseconds longestFault{ 4'000 };
/** A planned stop ends by itself; it needs its whole grace time. */
constexpr milliseconds leastStop{ 3'500 };
/** A limit is bound to hold some seconds after it was named first. */
constexpr milliseconds leastLimit{ 6'000 };
constexpr milliseconds longestLimit{ 9'000 };
/** Seeds the draws of the faults that every plan has, apart from the others'. */
constexpr std::uint64_t constantStream = 0x9e3779b97f4a7c15;

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

/** Whether the fault is about one instance of a server. */
bool needsInstance (FaultKind kind)
{
    return kind == FaultKind::serverReplaced || kind == FaultKind::serverLimited ||
           kind == FaultKind::serverLeaving;
}

/** Whether both act on the same thing, so that the end of one would end the other too. */
bool sharesTarget (const Fault& a, const Fault& b)
{
    const bool bothProcess = affectsProcess (a.kind) && affectsProcess (b.kind);
    const bool bothInstance = needsInstance (a.kind) && needsInstance (b.kind);

    if (bothProcess || bothInstance)
        return a.machine == b.machine;

    return a.kind == b.kind && a.machine == b.machine;
}

bool overlaps (const Fault& a, const Fault& b)
{
    return a.at < b.at + b.lasts && b.at < a.at + a.lasts;
}

milliseconds leastOf (FaultKind kind)
{
    if (kind == FaultKind::processStopped)
        return leastStop;

    return kind == FaultKind::serverLimited ? leastLimit : shortestFault;
}

/** A fault of this kind, with everything else drawn. */
Fault drawFault (std::mt19937_64& random, FaultKind kind, const PlanShape& shape)
{
    Fault fault;
    fault.kind = kind;
    fault.machine = MachineIndex (drawBelow (random, shape.numMachines));
    const auto most = kind == FaultKind::serverLimited ? longestLimit : longestFault;
    fault.lasts = drawBetween (random, leastOf (kind), most);
    fault.at = drawBetween (random, milliseconds (0), shape.faultsEnd - fault.lasts);
    return fault;
}

void addUnlessClashing (std::vector<Fault>& plan, const Fault& fault)
{
    const auto clashes = [&] (const Fault& it) { return sharesTarget (it, fault) && overlaps (it, fault); };

    if (std::none_of (plan.begin(), plan.end(), clashes))
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
        addUnlessClashing (plan, drawFault (random, kind, shape));
    }

    std::mt19937_64 further (seed ^ constantStream);

    for (auto n = static_cast<std::size_t> (firstGuaranteedKind); n < numFaultKinds; ++n)
        addUnlessClashing (plan, drawFault (further, static_cast<FaultKind> (n), shape));

    std::stable_sort (plan.begin(), plan.end(), [] (const Fault& a, const Fault& b) { return a.at < b.at; });
    return plan;
}

std::string describe (const Fault& fault)
{
    return std::string (nameOf (fault.kind)) + " machine-" + std::to_string (fault.machine.value) + " at " +
           std::to_string (fault.at.count()) + " ms for " + std::to_string (fault.lasts.count()) + " ms";
}

} // namespace anisehold::soak
