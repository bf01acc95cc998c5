/** What users saw: from the moment at which one of three servers was left at the end of all chains, no card
   was issued and no balance told for as long as that lasted, 23 s to the end of the record; all of those
   callers were told to come back, and told so again. A quarter of all requests was served.

    Order of events: two of the three servers left, 4 s apart. The limit of root requests fell to 0.13 within
    2 s. All daemons were killed and came back; two seconds later the shares served were what they had been.

    Cause: what capacity there was went to the most important row alone, whose requests make twice the calls
   of the next; rows below it got nothing, whatever little they needed. And the server itself ran at its
   slowest: its gate compares how long calls take with all slots taken and with some free, and with a queue
   that is never empty none are ever free.

    Evidence: `let_in` of the lines root-limit-moved; in 195 of 195 gate-call lines of the last server 20 of
    20 slots were taken, 45.8 ms a call at a work of 22 ms and a slowness of 1.6.
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
constexpr seconds watched{ 15 };

/** The rows of the record. */
std::vector<RowTerms> recordedRows()
{
    return { { { "redeem", 0 }, 82.5, 8, 22, 30, 1, 75, false },
             { { "lookup", 2 }, 196, 4, 22, 30, 1, 75, false },
             { { "card", 2 }, 22.4, 1, 72, 0, 2, 62, true },
             { { "export", 2 }, 29.8, 0, 0, 0, 0, 0, false } };
}

/** The server that was left: slow, and a third slower still with its last slot taken. */
ServerTerms lastServer()
{
    return { 20, 1.6, 0.95, 1.3 };
}

/** Shares served of each row, and of all under "all". */
std::map<std::string, double> sharesServed (ChainModel& fleet)
{
    fleet.run (settling);
    fleet.takeTallies();
    fleet.run (watched);
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

TEST_CASE ("with a third of the room left, no row is refused whole, and more than a quarter of all is served",
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
        // The most important row still gets the most.
        CHECK (shares["redeem"] > 0.45);
        CHECK (shares["redeem"] > shares["lookup"]);
    }
}

TEST_CASE ("with a third of the room left, three tenths of all are served, whatever the luck", "[margin]")
{
    // A quarter must be served on every day. On days of the same kind 0.25 to 0.29 were: too little to spare.
    //
    // Cause: the daemons drew which requests to admit by the share alone, so the number of chains under way
    // was as random as their arrivals. Slots stood empty at one moment, and at the next gates refused single
    // calls, which held the limit back: of 6.5 refused calls a second 5.8 were cards. 422 calls a second were
    // completed where 511 fit. With as many of a row under way as its share brings about, 447 are, and chains
    // hardly ever fail on their way.
    constexpr unsigned seeds = 20;

    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        ChainModel fleet (recordedRows(), { lastServer() }, daemons, seed);
        auto shares = sharesServed (fleet);
        INFO ("seed " << seed);
        CHECK (shares["all"] > 0.30);
    }
}

TEST_CASE ("a server whose queue is never empty is kept below the number of calls at which it slows down",
           "[knee]")
{
    // Far more calls than it can take; its best is 18 at a time of 35.2 ms: 511 a second. 437 with all slots.
    const auto completedPerSecond = [] (const ServerTerms& server)
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
    // One that doesn't slow down isn't held back by more than a fiftieth: 20 calls of 35.2 ms, 568 a second.
    CHECK (completedPerSecond ({ 20, 1.6, 1, 1 }) > 0.98 * 568);
}

TEST_CASE (
    "while servers decline whatever their load, what makes one call or none doesn't pay for the chains",
    "[room]")
{
    // Nothing is full, so nothing is refused early: all chains are admitted, and most break off.
    auto rows = recordedRows();

    for (auto& it : rows)
        it.callsPerRun = 4;

    const ServerTerms quick{ 20, 0.7, 1, 1, 0.55 };
    ChainModel fleet (rows, { quick, quick, quick }, daemons, 3);
    auto shares = sharesServed (fleet);
    INFO ("redeem " << shares["redeem"] << " lookup " << shares["lookup"] << " card " << shares["card"]);
    CHECK (shares["export"] == 1);
    CHECK (shares["card"] > 0.45);
    CHECK (shares["lookup"] > 0.05);
}
