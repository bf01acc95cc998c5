/** Guards against the complete rejection of less important rows during a shortage, and against a saturated
    server that runs at its slowest.

    Two of the three servers at the end of all chains left, 4 s apart, and the limit of root requests fell to
    0.13 within 2 s. For the remaining 23 s no card was issued and no balance query was served, though
    their callers were told to retry; a quarter of all requests was served. A kill of all daemons changed this
    for two seconds only.

    Cause: all capacity went to the most important row, whose requests make twice the calls of the next one,
    and the rows below got nothing, however little they needed. The last server also ran at its slowest: its
    gate compares the call times with all slots taken and with some free, but with a queue that is never empty
    no slot is ever free.

    To diagnose: `let_in` of the log lines root-limit-moved, and the gate-call lines of the last server, where
    20 of 20 slots were taken in 195 of 195 lines, at 45.8 ms per call with 22 ms of work and a slowness of
    1.6.
*/
#include <catch2/catch.hpp>

#include "admission/policy/knee_limit.hpp"
#include "chain_model.hpp"

using namespace anisehold;
using namespace anisehold::model;

namespace
{

constexpr std::size_t daemons = 13;
constexpr seconds settling{ 6 };
constexpr seconds measuredTime{ 15 };

/** The rows of the recorded traffic. */
std::vector<RowSpec> recordedRows()
{
    return { { { "redeem", 0 }, 82.5, 8, 22, 30, 1, 75, false },
             { { "lookup", 2 }, 196, 4, 22, 30, 1, 75, false },
             { { "card", 2 }, 22.4, 1, 72, 0, 2, 62, true },
             { { "export", 2 }, 29.8, 0, 0, 0, 0, 0, false } };
}

/** The remaining server: slow, and a third slower still with its last slot taken. */
ServerSpec lastServer()
{
    return { 20, 1.6, 0.95, 1.3 };
}

/** Returns the served share of each row, and of all requests under "all". */
std::map<std::string, double> sharesServed (ChainModel& fleet)
{
    fleet.run (settling);
    fleet.takeTallies();
    fleet.run (measuredTime);
    const auto tallies = fleet.takeTallies();
    std::map<std::string, double> shares;
    double sent = 0;
    double served = 0;

    for (const auto& [name, it] : tallies)
    {
        shares[name] = static_cast<double> (it.served) / static_cast<double> (it.sent);
        sent += static_cast<double> (it.sent);
        served += static_cast<double> (it.served);
    }

    shares["all"] = served / sent;
    return shares;
}

} // namespace

TEST_CASE ("with a third of the capacity, no row is rejected completely, and over a quarter of all is served",
           "[room]")
{
    constexpr unsigned seeds = 20;

    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        ChainModel fleet (recordedRows(), { lastServer() }, daemons, seed);
        auto shares = sharesServed (fleet);
        INFO ("seed " << seed << " all " << shares["all"] << " redeem " << shares["redeem"] << " lookup "
                      << shares["lookup"] << " card " << shares["card"]);
        CHECK (shares["all"] > 0.28);
        CHECK (shares["lookup"] > 0.02);
        CHECK (shares["card"] > 0.25);
        CHECK (shares["export"] == 1);
        // The most important row still has the greatest share.
        CHECK (shares["redeem"] > 0.45);
        CHECK (shares["redeem"] > shares["lookup"]);
    }
}

TEST_CASE ("with a third of the capacity, three tenths of all are served for every seed", "[margin]")
{
    // At least a quarter must be served on every day, but with random admission by share alone only 0.25 to
    // 0.29 were, which left no margin. The number of chains in flight then varied as randomly as their
    // arrivals: slots were idle at one moment, and at the next the gates refused single calls, which held the
    // limit down. Of 6.5 refused calls per second 5.8 were of the row "card", and 422 calls per second
    // completed where 511 fit. With the requests in flight of each row held at the average for its share 447
    // complete, and chains rarely fail.
    constexpr unsigned seeds = 20;

    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        ChainModel fleet (recordedRows(), { lastServer() }, daemons, seed);
        auto shares = sharesServed (fleet);
        INFO ("seed " << seed);
        CHECK (shares["all"] > 0.30);
    }
}

TEST_CASE ("a server whose queue is never empty is kept below its knee", "[knee]")
{
    // Far more calls than the capacity. The optimum is 18 calls of 35.2 ms, 511 per second; with all slots
    // 437.
    const auto completedPerSecond = [] (const ServerSpec& server)
    {
        constexpr double measuredS = 20;
        ChainModel fleet ({ { { "call", 0 }, 2'000, 1, 22, 0, 0, 100, true } }, { server }, 1, 7);
        fleet.setEarlyRefusal (false);
        fleet.run (seconds (3));
        const auto before = fleet.completedCalls();
        fleet.run (std::chrono::duration_cast<Duration> (std::chrono::duration<double> (measuredS)));
        return static_cast<double> (fleet.completedCalls() - before) / measuredS;
    };
    CHECK (completedPerSecond (lastServer()) > 490);
    // A server without a knee must lose no more than a fiftieth: 20 calls of 35.2 ms are 568 per second.
    CHECK (completedPerSecond ({ 20, 1.6, 1, 1 }) > 0.98 * 568);
}

TEST_CASE ("while servers refuse at any load, rows with few calls don't lose to long chains", "[room]")
{
    // No server is full, so no request is rejected early: all chains are admitted, and most break off.
    auto rows = recordedRows();

    for (auto& it : rows)
        it.callsPerRun = 4;

    const ServerSpec quick{ 20, 0.7, 1, 1, 0.55 };
    ChainModel fleet (rows, { quick, quick, quick }, daemons, 3);
    auto shares = sharesServed (fleet);
    INFO ("redeem " << shares["redeem"] << " lookup " << shares["lookup"] << " card " << shares["card"]);
    CHECK (shares["export"] == 1);
    CHECK (shares["card"] > 0.45);
    CHECK (shares["lookup"] > 0.05);
}
