#include <catch2/catch.hpp>

#include "fleet_model.hpp"

using namespace anisehold;
using namespace anisehold::speed::test;

namespace
{

constexpr unsigned seeds = 6;
constexpr double targetMs = 100;

/** Means over the seeds. */
struct Outcome
{
    double p99Ms = 0;
    double within = 0; /**< Share of the requests that were served within the target. */
};

Outcome outcomeOf (FleetOptions options)
{
    Outcome outcome;
    options.duration = seconds (12);

    for (options.seed = 1; options.seed <= seeds; ++options.seed)
    {
        const auto result = FleetModel (options).run();
        outcome.p99Ms += result.percentileMs (0.99) / seeds;
        outcome.within += result.shareWithin (targetMs) / seeds;
    }

    return outcome;
}

/** Share of the work that the first server, at a speed of 0.55, gets if it states the figure. */
double shareOfFirst (const std::function<unsigned (std::size_t, double)>& stated)
{
    FleetOptions options;
    options.load = 0.85;
    options.duration = seconds (10);
    options.stated = stated;
    return FleetModel (options).run().shareOfServer (0);
}

} // namespace

// Guards against a selection that follows the noise of the machines too late: daemons with many requests to
// each server, and with few.
TEST_CASE ("present speeds lower the 99th percentile beside noisy neighbors", "[speed]")
{
    for (const std::size_t daemons : { 30, 120 })
    {
        FleetOptions options;
        options.daemons = daemons;
        options.usesSpeed = false;
        const auto before = outcomeOf (options);
        options.usesSpeed = true;
        const auto with = outcomeOf (options);
        INFO (daemons << " daemons: 99th percentile " << before.p99Ms << " ms before, " << with.p99Ms
                      << " ms with; within " << targetMs << " ms " << before.within << ", " << with.within);
        CHECK (with.p99Ms < before.p99Ms);
        CHECK (with.within > before.within);
    }
}

// Guards against harm on quiet machines, where the figure is always the same.
TEST_CASE ("without noise a present speed changes nothing", "[speed]")
{
    FleetOptions options;
    options.slowShare = 0;
    options.usesSpeed = false;
    const auto before = FleetModel (options).run();
    options.usesSpeed = true;
    CHECK (FleetModel (options).run().latenciesMs == before.latenciesMs);
}

// Guards against a server that draws the work of others, or evades its own, by a false figure.
TEST_CASE ("a server that always states the same figure gets its true share of the work", "[speed]")
{
    const auto honest = [] (std::size_t, double slowness) { return static_cast<unsigned> (100 * slowness); };
    const double expected = shareOfFirst (honest);

    for (const unsigned figure : { 10U, 10'000U })
    {
        const double share = shareOfFirst ([&] (std::size_t n, double slowness)
                                           { return n == 0 ? figure : honest (n, slowness); });
        INFO ("figure " << figure << ": share " << share << ", honest " << expected);
        CHECK (share == Approx (expected).epsilon (0.15));
    }
}

// Guards against the same by a figure that changes without a relation to the server's times.
TEST_CASE ("a server that states random figures gets its true share of the work", "[speed]")
{
    const auto honest = [] (std::size_t, double slowness) { return static_cast<unsigned> (100 * slowness); };
    std::mt19937 generator (9);
    const double share =
        shareOfFirst ([&] (std::size_t n, double slowness)
                      { return n == 0 ? (generator() % 2 == 0 ? 10U : 10'000U) : honest (n, slowness); });
    CHECK (share == Approx (shareOfFirst (honest)).epsilon (0.15));
}
