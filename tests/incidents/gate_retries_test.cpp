/** Guards against retries beyond the fleet's bound when gates decide on them and gates are killed.

    Each gate grants retries by the first arrivals at its own server, counted over the window with the most of
    them, as the bound counts them. A killed gate's arrivals go to the other gates meanwhile; when it returns,
    the others still count the window in which they had its arrivals. A successor of a killed gate doesn't
    know what its predecessor spent, and the retries that the gates have granted count for a window in which
    the first arrivals may fall. Used shares of the bound with the rules of GateBudget, and without one of
    them: killed gates whose arrivals return 0.80 and 1.33, gates that take over the arrivals of a killed one
    0.88 and 0.99, four gates with random kills 0.85 and 0.93.
*/
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

#include "retry/gate_budget.hpp"
#include "sliding_count.hpp"

using namespace anisehold;
using namespace anisehold::retry;
using model::SlidingCount;

namespace
{

constexpr milliseconds silenceDetection{ 3'500 }; /**< Time until peers notice that a daemon is silent. */
constexpr milliseconds restartTime{ 700 };

/** Gates whose arrivals go to a random gate that is alive, and which are asked for more retries than the
   bound allows. */
struct GateFleet
{
    struct Gate
    {
        std::unique_ptr<GateBudget> budget;
        TimePoint deadUntil;
        TimePoint noticed = TimePoint::max(); /**< When the others notice the silence. */
        std::uint64_t boot = 0;
        bool isMissed = false; /**< The others have noticed. */
    };

    GateFleet (std::size_t count, unsigned seed, bool informsGates)
        : gates (count),
          random (seed),
          informs (informsGates)
    {
        for (auto& it : gates)
            it.budget = std::make_unique<GateBudget> (terms, now);

        tellServers();
    }

    void tellServers()
    {
        if (! informs)
            return;

        std::uint64_t identity = 0;
        std::size_t servers = 0;

        for (std::size_t n = 0; n < gates.size(); ++n)
        {
            if (gates[n].isMissed)
                continue;

            identity += (n + 1) * 1'000'003 + gates[n].boot * 7'919;
            ++servers;
        }

        for (auto& it : gates)
        {
            if (it.budget)
                it.budget->on_servers (now, servers, identity);
        }
    }

    void kill (std::size_t gate, Duration downTime = restartTime)
    {
        gates[gate].budget.reset();
        gates[gate].deadUntil = now + downTime;
        gates[gate].noticed = now + silenceDetection;
    }

    void updateFleet()
    {
        bool hasChanged = false;

        for (auto& it : gates)
        {
            if (! it.budget && now >= it.deadUntil)
            {
                it.budget = std::make_unique<GateBudget> (terms, now);
                ++it.boot;
                it.noticed = TimePoint::max();
                it.isMissed = false;
                hasChanged = true;
            }
            else if (! it.budget && ! it.isMissed && now >= it.noticed)
            {
                it.isMissed = true;
                hasChanged = true;
            }
        }

        if (hasChanged)
            tellServers();
    }

    GateBudget* anyGate()
    {
        for (std::size_t tries = 0; tries < 3 * gates.size(); ++tries)
        {
            auto& it = gates[random() % gates.size()];

            if (it.budget)
                return it.budget.get();
        }

        return nullptr;
    }

    /** Simulates the time with `arrivalsPerMs` first arrivals (at most 1) and `asked` retries asked per ms.
     */
    void simulate (Duration time, double arrivalsPerMs, unsigned asked)
    {
        for (const auto end = now + time; now < end; now += milliseconds (1))
        {
            updateFleet();

            if (draw() < arrivalsPerMs)
            {
                if (auto* gate = anyGate())
                {
                    gate->on_first_arrival (now, 0);
                    arrivals.add (now);
                }
            }

            for (unsigned n = 0; n < asked; ++n)
            {
                auto* gate = anyGate();

                if (gate != nullptr && gate->try_retry (now, { static_cast<unsigned> (random() % 3), 0 }))
                    retries.add (now);
            }

            updateMaxUsed();
        }
    }

    void updateMaxUsed()
    {
        const double counted = arrivals.inLargestWindow (now, terms.window);
        used = retries.inWindow (now, terms.window, {}) / (terms.ratio * counted + terms.extra);
        maxUsed = std::max (maxUsed, used);
        arrivals.discardOld (now, terms.window);
        retries.discardOld (now, terms.window);
    }

    double draw() { return std::uniform_real_distribution<double> (0, 1) (random); }

    GateBudgetTerms terms{ 0.2, 49, milliseconds (10'000) };
    std::vector<Gate> gates;
    std::mt19937 random;
    bool informs;
    TimePoint now{ seconds (1'000) };
    SlidingCount arrivals;
    SlidingCount retries;
    double maxUsed = 0;
    double used = 0;
};

constexpr double allowedUse = 0.92;
constexpr double allArrive = 1.0;

/** Kills gates at random times, some of them together, while arrivals change as the fleet refuses requests.
 */
double maxUseWithKills (std::size_t gates, unsigned seed, bool informs)
{
    GateFleet fleet (gates, seed, informs);
    fleet.simulate (milliseconds (10'000 + fleet.random() % 20'000), allArrive, 0);

    for (int kills = 0; kills < 6; ++kills)
    {
        const auto pause = milliseconds (200 + fleet.random() % 9'000);
        fleet.simulate (pause, fleet.draw() < 0.3 ? 0.2 + 0.8 * fleet.draw() : allArrive, 1);
        const double share = fleet.draw() < 0.3 ? 1 : 0.6 * fleet.draw();

        for (std::size_t n = 0; n < gates; ++n)
        {
            if (fleet.draw() < share)
                fleet.kill (n, milliseconds (300 + fleet.random() % 9'000));
        }
    }

    fleet.simulate (seconds (25), allArrive, 1);
    return fleet.maxUsed;
}

double maxUseOverSeeds (std::size_t gates, bool informs)
{
    constexpr unsigned seeds = 40;
    double most = 0;

    for (unsigned seed = 1; seed <= seeds; ++seed)
        most = std::max (most, maxUseWithKills (gates, seed, informs));

    return most;
}

} // namespace

TEST_CASE ("without a kill the gates use most of the bound", "[gate-retries]")
{
    GateFleet fleet (4, 1, true);
    fleet.simulate (seconds (30), allArrive, 0);
    fleet.simulate (seconds (30), allArrive, 2);
    INFO ("share of the bound that was used: " << fleet.maxUsed);
    CHECK (fleet.maxUsed <= allowedUse);
    CHECK (fleet.maxUsed > 0.8);
}

TEST_CASE ("retries remain while first arrivals fall because requests are refused early", "[gate-retries]")
{
    GateFleet fleet (4, 1, true);
    fleet.simulate (seconds (30), allArrive, 0);
    fleet.simulate (seconds (8), 0.15, 2);
    INFO ("share of the bound that was used: " << fleet.used);
    CHECK (fleet.used > 0.6);
    CHECK (fleet.maxUsed <= allowedUse);
}

TEST_CASE ("retries stay within the bound if servers begin to decline after first arrivals have fallen",
           "[gate-retries]")
{
    for (const int lowMs : { 2'000, 8'000, 10'000, 12'000, 18'000 })
    {
        GateFleet fleet (4, 1, true);
        fleet.simulate (seconds (30), allArrive, 0);
        fleet.simulate (milliseconds (lowMs), 0.2, 0);
        fleet.simulate (seconds (25), 0.2, 2);
        INFO ("began after " << lowMs << " ms, used share of the bound: " << fleet.maxUsed);
        CHECK (fleet.maxUsed <= allowedUse);
    }
}

TEST_CASE ("retries stay within the bound if all gates are killed while servers decline", "[gate-retries]")
{
    for (const int killedAfterMs : { 100, 1'000, 4'500, 9'000 })
    {
        GateFleet fleet (4, 1, true);
        fleet.simulate (seconds (30), allArrive, 0);
        fleet.simulate (milliseconds (killedAfterMs), allArrive, 2);

        for (std::size_t n = 0; n < fleet.gates.size(); ++n)
            fleet.kill (n);

        fleet.simulate (seconds (18), allArrive, 2);
        INFO ("killed after " << killedAfterMs << " ms, used share of the bound: " << fleet.maxUsed);
        CHECK (fleet.maxUsed <= allowedUse);
        CHECK (fleet.maxUsed > 0.6);
    }
}

TEST_CASE ("retries stay within the bound if gates are killed in turn and arrivals move among them",
           "[gate-retries]")
{
    GateFleet fleet (4, 1, true);
    fleet.simulate (seconds (30), allArrive, 0);

    for (std::size_t n = 0; n < 8; ++n)
    {
        fleet.kill (n % 4, seconds (6));
        fleet.simulate (seconds (8), allArrive, 2);
    }

    INFO ("share of the bound that was used: " << fleet.maxUsed);
    CHECK (fleet.maxUsed <= allowedUse);
}

TEST_CASE ("retries stay within the bound for random kills of gates", "[gate-retries]")
{
    for (const std::size_t gates : { 2U, 4U, 13U })
    {
        const double used = maxUseOverSeeds (gates, true);
        WARN (gates << " gates, used share of the bound: " << used);
        CHECK (used <= allowedUse);
    }
}

TEST_CASE ("retries stay within the bound if arrivals return and a gate takes over those of a killed one",
           "[gate-retries]")
{
    double most = 0;

    for (const std::size_t gates : { 2U, 4U })
    {
        for (const int lowMs : { 5'000, 9'000 })
        {
            GateFleet fleet (gates, 1, true);
            fleet.simulate (seconds (30), allArrive, 0);
            fleet.simulate (milliseconds (lowMs), 0.1, 2);
            fleet.kill (0, seconds (15));
            fleet.simulate (seconds (25), allArrive, 2);
            most = std::max (most, fleet.maxUsed);
        }
    }

    WARN ("used share of the bound: " << most);
    CHECK (most <= allowedUse);
}

TEST_CASE ("gates that don't learn of changes of the fleet would exceed the bound", "[gate-retries]")
{
    const double used = maxUseOverSeeds (4, false);
    WARN ("4 gates, used share of the bound: " << used);
    CHECK (used > allowedUse);
}

TEST_CASE ("retries stay within the bound if arrivals return after all gates were killed", "[gate-retries]")
{
    double most = 0;

    for (const int lowMs : { 2'000, 5'000, 9'000 })
    {
        for (const int deadMs : { 100, 700, 3'000 })
        {
            GateFleet fleet (4, 1, true);
            fleet.simulate (seconds (30), allArrive, 0);
            fleet.simulate (milliseconds (lowMs), 0.1, 2);

            for (std::size_t n = 0; n < fleet.gates.size(); ++n)
                fleet.kill (n, milliseconds (deadMs));

            fleet.simulate (seconds (15), allArrive, 2);
            most = std::max (most, fleet.maxUsed);
        }
    }

    WARN ("used share of the bound: " << most);
    CHECK (most <= allowedUse);
}
