#include "overload/work_estimate.hpp"

#include <catch2/catch.hpp>
#include <queue>
#include <random>

#include "overload/pressure_report.hpp"

using namespace anisehold;
using namespace anisehold::overload;

namespace
{

/** A server that runs requests of several rows, which make calls at random times while they run. */
struct ServerModel
{
    struct Row
    {
        std::string name;
        double perSecond = 0;
        double runMs = 0;
        std::map<std::string, int> calls;
    };

    struct Step
    {
        TimePoint time;
        int kind = 0; /**< 0: request started, 1: call made, 2: request ended. */
        std::string row;
        bool operator> (const Step& other) const { return time > other.time; }
    };

    void simulate (const std::vector<Row>& rows, seconds time, unsigned seed)
    {
        std::mt19937 random (seed);
        std::uniform_real_distribution<double> unit (0, 1);
        const auto begin = TimePoint (seconds (100));
        const auto after = [&] (TimePoint from, double ms) {
            return from +
                   std::chrono::duration_cast<Duration> (std::chrono::duration<double, std::milli> (ms));
        };

        for (const auto& row : rows)
        {
            for (int n = 0; n < static_cast<int> (row.perSecond * static_cast<double> (time.count())); ++n)
            {
                const auto began = after (begin, 1'000 * unit (random) * static_cast<double> (time.count()));
                const double runMs = row.runMs * (0.5 + unit (random));
                steps.push ({ began, 0, row.name });
                steps.push ({ after (began, runMs), 2, row.name });

                for (const auto& [called, count] : row.calls)
                {
                    for (int call = 0; call < count; ++call)
                        steps.push ({ after (began, runMs * unit (random)), 1, called });
                }
            }
        }

        for (; ! steps.empty(); steps.pop())
        {
            const auto& step = steps.top();

            if (step.kind == 0)
                recordRunStarted (work, step.time, step.row);
            else if (step.kind == 1)
                recordCallMade (work, step.time, step.row);
            else
                recordRunEnded (work, step.time, step.row);
        }
    }

    WorkEstimate work;
    std::priority_queue<Step, std::vector<Step>, std::greater<>> steps;
};

} // namespace

TEST_CASE ("calls are attributed by the requests that run when they arrive", "[overload]")
{
    ServerModel server;
    server.simulate ({ { "index", 120, 150, { { "catalog", 4 } } }, { "export", 10, 72, {} } }, seconds (60),
                     3);
    CHECK (callsPerRun (server.work, "index", "catalog") == Approx (4).epsilon (0.05));
    CHECK (callsPerRun (server.work, "export", "catalog") < 0.4);
    CHECK (slotMsPerRun (server.work, "index") == Approx (150).epsilon (0.1));
    CHECK (slotMsPerRun (server.work, "export") == Approx (72).epsilon (0.15));
}

TEST_CASE ("calls of known parents are attributed exactly", "[overload]")
{
    // Guards against the error of two fifths that dividing calls among rows has where rows run together.
    WorkEstimate work;
    auto now = TimePoint (seconds (100));

    for (int n = 0; n < 20; ++n)
    {
        now += milliseconds (10);
        recordRunStarted (work, now, "redeem");
        recordRunStarted (work, now, "ledger");

        for (int call = 0; call < 3; ++call)
            recordCallMade (work, now, "index", call < 2 ? "redeem" : "ledger");

        recordRunEnded (work, now, "redeem");
        recordRunEnded (work, now, "ledger");
    }

    CHECK (callsPerRun (work, "redeem", "index") == Approx (2));
    CHECK (callsPerRun (work, "ledger", "index") == Approx (1));
}

TEST_CASE ("a call whose parent row doesn't run here is divided among the rows", "[overload]")
{
    WorkEstimate work;
    const auto now = TimePoint (seconds (100));
    recordRunStarted (work, now, "redeem");
    recordCallMade (work, now, "index", "gone");
    CHECK (work.rows.size() == 1);
    CHECK (work.rows.at ("redeem").calls.at ("index") == Approx (1));
}

TEST_CASE ("two rows with nearly the same call rate are distinguished roughly, and their sum is accurate",
           "[overload]")
{
    for (unsigned seed = 1; seed <= 8; ++seed)
    {
        ServerModel server;
        server.simulate (
            { { "redeem", 20, 300, { { "index", 2 } } }, { "ledger", 48, 170, { { "index", 1 } } } },
            seconds (60), seed);
        const double redeem = callsPerRun (server.work, "redeem", "index");
        const double ledger = callsPerRun (server.work, "ledger", "index");
        INFO ("seed " << seed);
        CHECK (redeem == Approx (2).epsilon (0.4));
        CHECK (ledger == Approx (1).epsilon (0.4));
        CHECK (20 * redeem + 48 * ledger == Approx (88).epsilon (0.05));
    }
}

TEST_CASE ("work at a service adds up along the chain", "[overload]")
{
    ServerModel server;
    server.simulate ({ { "index", 50, 150, { { "catalog", 4 } } } }, seconds (30), 1);
    RootLimitState limit;
    CHECK (estimateRowWork (server.work, limit, "export-svc", "end-svc").empty());
    setOwnRowWork (limit, "end-svc", { { "catalog", 30 } });
    const auto below = estimateRowWork (server.work, limit, "export-svc", "end-svc");
    REQUIRE (below.size() == 1);
    CHECK (below.front().row == "index");
    CHECK (below.front().ms == Approx (120).epsilon (0.05));
    const auto here = estimateRowWork (server.work, limit, "export-svc", "export-svc");
    REQUIRE (here.size() == 1);
    CHECK (here.front().ms == Approx (150).epsilon (0.1));
}

TEST_CASE ("no estimate from few requests, calls without requests, or old observations", "[overload]")
{
    const auto start = TimePoint (seconds (100));
    WorkEstimate work;
    recordCallMade (work, start, "catalog");
    CHECK (work.rows.empty());
    recordRunStarted (work, start, "index");
    recordCallMade (work, start + milliseconds (10), "catalog");
    recordRunEnded (work, start + milliseconds (100), "index");
    CHECK (callsPerRun (work, "index", "catalog") == 0);
    CHECK (slotMsPerRun (work, "index") == 0);
    recordRunStarted (work, start + seconds (200), "other");
    CHECK_FALSE (work.rows.contains ("index"));
}
