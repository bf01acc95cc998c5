#include "overload/root_limit.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace anisehold;
using namespace anisehold::overload;

namespace
{

const RootRow vital{ "vital", 0 };
const RootRow plain{ "plain", 2 };
constexpr seconds period{ 1 };

/** Offers `n` requests of each row. */
void offerBoth (RootLimitState& state, TimePoint now, int n)
{
    for (int i = 0; i < n; ++i)
    {
        recordOffered (state, now, vital);
        recordOffered (state, now, plain);
    }
}

void endCalls (RootLimitState& state, const std::string& service, int n, int refused)
{
    for (int i = 0; i < n; ++i)
        recordCallEnded (state, service, i < refused);
}

/** Returns a daemon with two rows that reach "deep", after one period without refusals. */
RootLimitState daemonWithRows (TimePoint now)
{
    RootLimitState state;
    state.ownName = "self";
    recordReach (state, vital.name, "deep");
    recordReach (state, plain.name, "deep");
    offerBoth (state, now, 50);
    endCalls (state, "deep", 100, 0);
    endPeriod (state, now, { { "deep", 1.0 } });
    return state;
}

//==============================================================================
/** A fleet that calls one downstream service with a capacity of `capacity` calls per period. */
struct FleetModel
{
    static constexpr std::size_t numDaemons = 8;
    static constexpr int callsPerRequest = 4;

    explicit FleetModel (unsigned seed)
        : random (seed),
          daemons (numDaemons)
    {
        for (std::size_t n = 0; n < numDaemons; ++n)
            daemons[n].ownName = "d" + std::to_string (n);
    }

    /** Simulates one period with `each` requests of both rows at each daemon. Returns the numbers of
        completed requests (vital, plain). */
    std::pair<int, int> simulate (int each, int capacity)
    {
        now += period;
        std::vector<std::pair<std::size_t, RootRow>> requests;

        for (std::size_t n = 0; n < numDaemons; ++n)
        {
            for (int i = 0; i < each; ++i)
            {
                requests.emplace_back (n, vital);
                requests.emplace_back (n, plain);
            }
        }

        std::shuffle (requests.begin(), requests.end(), random);
        std::pair<int, int> completed{ 0, 0 };
        int capacityLeft = capacity;
        served = 0;
        // Capacity becomes available evenly over the period.
        const double share =
            static_cast<double> (capacity) / static_cast<double> (requests.size() * callsPerRequest);

        for (const auto& [n, row] : requests)
        {
            if (simulateRequest (daemons[n], row, capacityLeft, share))
                ++(row.name == vital.name ? completed.first : completed.second);
        }

        exchange ({ { "deep", static_cast<double> (served) / capacity } });
        return completed;
    }

    bool simulateRequest (RootLimitState& daemon, const RootRow& row, int& capacityLeft, double share)
    {
        recordOffered (daemon, now, row);

        if (isLimited && draw() < refusedShare (daemon, row))
        {
            unused += callsPerRequest * share;
            return false;
        }

        unused += callsPerRequest * share;

        for (int call = 0; call < callsPerRequest; ++call)
        {
            const bool refused = unused < 1 || capacityLeft <= 0;
            recordCallEnded (daemon, "deep", refused);

            if (refused)
            {
                recordReach (daemon, row.name, "deep");
                return false;
            }

            unused -= 1;
            --capacityLeft;
            ++served;
        }

        return true;
    }

    void exchange (const Utilizations& utilizations)
    {
        unused = std::min (unused, 4.0);

        for (auto& from : daemons)
        {
            endPeriod (from, now, utilizations);

            for (auto& to : daemons)
            {
                if (to.ownName != from.ownName)
                    recordPeerReport (to, now, from.ownName, ownReport (from));
            }
        }
    }

    double draw() { return std::uniform_real_distribution<double> (0, 1) (random); }

    std::mt19937 random;
    std::vector<RootLimitState> daemons;
    TimePoint now{ seconds (100) };
    double unused = 0;
    int served = 0;
    bool isLimited = true;
};

} // namespace

TEST_CASE ("nothing is refused while no service refuses calls", "[overload]")
{
    const auto state = daemonWithRows (TimePoint (seconds (1)));
    CHECK (refusedShare (state, vital) == 0);
    CHECK (refusedShare (state, plain) == 0);
    CHECK (refusedShare (state, { "unknown", 9 }) == 0);
}

TEST_CASE ("the less important row is rejected first", "[overload]")
{
    TimePoint now (seconds (1));
    auto state = daemonWithRows (now);
    now += period;
    offerBoth (state, now, 50);
    endCalls (state, "deep", 100, 20);
    endPeriod (state, now, { { "deep", 1.0 } });
    CHECK (refusedShare (state, vital) == 0);
    CHECK (refusedShare (state, plain) > 0.2);
}

TEST_CASE ("without refusals, an admitted share below 1 follows the utilization, a share of 1 stays",
           "[overload]")
{
    TimePoint now (seconds (1));
    auto state = daemonWithRows (now);
    auto& share = state.services["deep"].admittedShare;

    const auto simulatePeriod = [&] (int refused, double utilization)
    {
        now += period;
        endCalls (state, "deep", 100, refused);
        endPeriod (state, now, { { "deep", utilization } });
    };

    simulatePeriod (0, 1.0);
    CHECK (share == 1);
    simulatePeriod (20, 1.0);
    CHECK (share < 1);

    for (int n = 0; n < 10; ++n)
        simulatePeriod (0, targetUtilization);

    const double limited = share;
    CHECK (limited < 1);
    simulatePeriod (0, targetUtilization);
    CHECK (share == Approx (limited));
    simulatePeriod (0, 1.0);
    CHECK (share < limited);
    simulatePeriod (0, 0.5);
    simulatePeriod (0, 0.5);
    CHECK (share > limited);
}

TEST_CASE ("the limit depends on the fleet's calls, not on a few of one daemon", "[overload]")
{
    const auto now = TimePoint (seconds (1));
    auto state = daemonWithRows (now);
    recordPeerReport (state, now, "peer", { { "deep", 1'000, 0, 1, {} } });
    const auto later = now + period;
    endCalls (state, "deep", 5, 3);
    recordPeerReport (state, later, "peer", { { "deep", 2'000, 0, 1, {} } });
    endPeriod (state, later, { { "deep", 1.0 } });
    CHECK (state.services["deep"].admittedShare == 1);
}

TEST_CASE ("a restarted peer's counts start at zero, and those of a silent peer expire", "[overload]")
{
    const auto now = TimePoint (seconds (1));
    auto state = daemonWithRows (now);
    recordPeerReport (state, now, "peer", { { "deep", 4'000, 3'000, 1, {} } });
    CHECK (state.services["deep"].reports["peer"].refusedBefore == 3'000);
    recordPeerReport (state, now + period, "peer", { { "deep", 100, 0, 1, {} } });
    CHECK (state.services["deep"].reports["peer"].endedBefore == 0);
    recordPeerReport (state, now + period, "gone", { { "deep", 0, 0, 1, {} } });
    recordPeerReport (state, now + 2 * period, "gone", { { "deep", 900, 900, 0.05, {} } });
    endCalls (state, "deep", 100, 0);
    endPeriod (state, now + 6 * period, { { "deep", 0.5 } });
    CHECK (state.services["deep"].admittedShare == 1);
}

TEST_CASE ("a restarted daemon adopts its peers' share and rows", "[overload]")
{
    const auto now = TimePoint (seconds (1));
    RootLimitState state;
    state.ownName = "self";

    for (const auto* peer : { "a", "b", "c" })
        recordPeerReport (state, now, peer, { { "deep", 10, 0, 0.4, { vital.name, plain.name } } });

    offerBoth (state, now, 50);
    endPeriod (state, now, { { "deep", 1.0 } });
    CHECK (refusedShare (state, plain) > 0.5);
    CHECK (refusedShare (state, vital) == 0);
}

namespace
{

/** Returns the completed shares under lasting overload: of the vital requests, and of all requests that
    the capacity suffices for. */
std::pair<double, double> goodputUnderOverload (unsigned seed, bool isLimited)
{
    constexpr int each = 10;
    constexpr int capacity = 400; // The requests ask for 640 calls; vital requests alone need 320.
    constexpr int measuredPeriods = 20;
    FleetModel fleet (seed);
    fleet.isLimited = isLimited;

    for (int n = 0; n < 10; ++n)
        fleet.simulate (each, capacity);

    double vitals = 0;
    double all = 0;

    for (int n = 0; n < measuredPeriods; ++n)
    {
        const auto completed = fleet.simulate (each, capacity);
        vitals += completed.first;
        all += completed.first + completed.second;
    }

    return { vitals / (measuredPeriods * 80), all / (measuredPeriods * 100) };
}

} // namespace

TEST_CASE ("under lasting overload nearly all capacity goes to completed requests, important ones first",
           "[overload]")
{
    constexpr unsigned seeds = 40;
    double vitals = 0;
    double all = 0;
    double vitalsUnlimited = 0;

    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        const auto limited = goodputUnderOverload (seed, true);
        INFO ("seed " << seed);
        CHECK (limited.first > 0.8);
        CHECK (limited.second > 0.75);
        vitals += limited.first / seeds;
        all += limited.second / seeds;
        vitalsUnlimited += goodputUnderOverload (seed, false).first / seeds;
    }

    CHECK (vitals > 0.9);
    CHECK (all > 0.82);
    // Without the limit the same load loses most of the vital requests, which shows that the checks above can
    // fail.
    CHECK (vitalsUnlimited < 0.6);
}

TEST_CASE ("soon after an overload all requests are admitted again", "[overload]")
{
    FleetModel fleet (3);

    for (int n = 0; n < 15; ++n)
        fleet.simulate (10, 300);

    for (int n = 0; n < 8; ++n)
        fleet.simulate (10, 2'000);

    const auto completed = fleet.simulate (10, 2'000);
    CHECK (completed.first == 80);
    CHECK (completed.second == 80);
}

TEST_CASE ("in a large fleet reports stay valid for its longer period", "[overload]")
{
    const auto now = TimePoint (seconds (10));
    auto state = daemonWithRows (now);
    state.period = seconds (3);
    recordPeerReport (state, now + seconds (1), "peer", { { "deep", 1'000, 0, 1, {} } });
    recordPeerReport (state, now + seconds (4), "peer", { { "deep", 2'000, 500, 1, {} } });
    endPeriod (state, now + seconds (9), { { "deep", 1.0 } });
    CHECK (state.services["deep"].admittedShare < 1);
}

TEST_CASE ("the first refusal requests faster reports, and a period without refusals ends them")
{
    const TimePoint start = TimePoint() + seconds (100);
    auto state = daemonWithRows (start);
    REQUIRE_FALSE (isUnderPressure (state));
    recordCallEnded (state, "deep", true);
    CHECK (isUnderPressure (state));
    endPeriod (state, start + period, {});
    endPeriod (state, start + 2 * period, {});
    CHECK_FALSE (isUnderPressure (state));
}

TEST_CASE ("refusals are reported even if the affected rows are unknown")
{
    RootLimitState state;
    state.ownName = "self";
    recordCallEnded (state, "deep", false);
    CHECK (ownReport (state).empty());
    recordCallEnded (state, "deep", true);
    REQUIRE (ownReport (state).size() == 1);
    CHECK (ownReport (state).front().recentEnded == 2);
    CHECK (ownReport (state).front().recentRefused == 1);
}

TEST_CASE ("a peer's first report counts only with its recent calls")
{
    const TimePoint start = TimePoint() + seconds (100);
    RootLimitState state;
    state.ownName = "self";
    recordReach (state, vital.name, "deep");
    offerBoth (state, start, 50);
    ServicePressure report;
    report.service = "deep";
    report.ended = 100'000;
    report.refused = 5'000;
    report.recentEnded = 100;
    report.recentRefused = 40;
    recordPeerReport (state, start, "peer", { report });
    CHECK (isUnderPressure (state));
    const auto moves = endPeriod (state, start + milliseconds (10), { { "deep", 1.0 } });
    REQUIRE (moves.size() == 1);
    CHECK (moves.front().ended == 100);
    CHECK (moves.front().refused == 40);
    CHECK (moves.front().to < 0.8);
}

TEST_CASE ("a row with occasional failures doesn't count as reaching an overloaded service")
{
    const TimePoint start = TimePoint() + seconds (100);
    RootLimitState state;
    state.ownName = "self";
    const auto simulate = [&] (const RootRow& row, int failEach)
    {
        for (int n = 0; n < 1'000; ++n)
        {
            const auto now = start + milliseconds (20 * n);
            recordOffered (state, now, row);

            if (n % failEach == 0)
                recordDownstreamFailure (state, now, row.name, "deep");
        }
    };
    simulate (plain, 200);
    CHECK_FALSE (state.services["deep"].rows.contains (plain.name));
    simulate (vital, 5);
    CHECK (state.services["deep"].rows.contains (vital.name));
}

TEST_CASE ("a row counts as reaching a service after the third failure in succession, not after the second")
{
    const TimePoint start = TimePoint() + seconds (100);
    RootLimitState state;

    for (int n = 0; n < 3; ++n)
    {
        recordOffered (state, start + milliseconds (100 * n), vital);
        recordDownstreamFailure (state, start + milliseconds (100 * n), vital.name, "deep");
        CHECK (state.services["deep"].rows.contains (vital.name) == (n == 2));
    }
}
