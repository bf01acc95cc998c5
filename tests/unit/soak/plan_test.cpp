#include "soak/plan.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace anisehold;
using namespace anisehold::soak;

namespace
{

const PlanShape shape{ 6, 10, milliseconds (10'000) };

bool sameFault (const Fault& a, const Fault& b)
{
    return a.kind == b.kind && a.machine == b.machine && a.at == b.at && a.duration == b.duration;
}

} // namespace

TEST_CASE ("equal seeds give equal plans, and different seeds different plans", "[soak]")
{
    const auto first = drawPlan (7, shape);
    const auto again = drawPlan (7, shape);
    REQUIRE (first.size() == again.size());
    REQUIRE (std::equal (first.begin(), first.end(), again.begin(), sameFault));
    const auto other = drawPlan (8, shape);
    CHECK_FALSE (std::equal (first.begin(), first.end(), other.begin(), other.end(), sameFault));
}

TEST_CASE ("faults are ordered, within the time limit, and of existing machines", "[soak]")
{
    for (std::uint64_t seed = 0; seed < 300; ++seed)
    {
        milliseconds before{ 0 };

        for (const auto& it : drawPlan (seed, shape))
        {
            CHECK (it.at >= before);
            CHECK (it.at + it.duration <= shape.faultsEnd);
            CHECK (it.machine.value < shape.numMachines);
            before = it.at;
        }
    }
}

TEST_CASE ("two faults of one process never overlap", "[soak]")
{
    const auto affectsProcess = [] (const Fault& it) { return it.kind <= FaultKind::processPaused; };

    for (std::uint64_t seed = 0; seed < 2'000; ++seed)
    {
        const auto plan = drawPlan (seed, { 2, 12, milliseconds (10'000) });

        for (std::size_t a = 0; a < plan.size(); ++a)
        {
            for (std::size_t b = a + 1; b < plan.size(); ++b)
            {
                if (! affectsProcess (plan[a]) || ! affectsProcess (plan[b]) ||
                    plan[a].machine != plan[b].machine)
                    continue;

                CHECK (plan[a].at + plan[a].duration <= plan[b].at);
            }
        }
    }
}

TEST_CASE ("every kind of fault is drawn", "[soak]")
{
    std::set<FaultKind> seen;

    for (std::uint64_t seed = 0; seed < 300; ++seed)
        for (const auto& it : drawPlan (seed, shape))
            seen.insert (it.kind);

    CHECK (seen.size() == numFaultKinds);
}
