#include "attribution/call_matcher.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <sstream>

using namespace anisehold;
using namespace anisehold::attribution;

namespace
{

TimePoint atMs (double ms)
{
    return TimePoint (std::chrono::hours (1)) +
           std::chrono::duration_cast<Duration> (std::chrono::duration<double, std::milli> (ms));
}

/** Parameters of a simulated server. */
struct ServerCase
{
    double jitterMs = 0;         /**< Greatest additional delay of each way. */
    double ownDeadlineShare = 0; /**< Share of the calls that bring a shorter deadline of their own. */
    double ownTimeoutMs = 0;     /**< That deadline, from the call. */
    bool isParallel = false;     /**< A run makes all its calls at once. */
    bool isRegular = false;      /**< Timeouts of the runs, and times of their calls, are always the same. */
};

/** Counts of the calls of a simulated server. */
struct MatchTally
{
    double calls = 0;
    double rows = 0; /**< Calls whose parent row was stated; those among them that were wrong. */
    double wrongRows = 0;
    double roots = 0;
    double wrongRoots = 0;
    double rightRuns = 0;  /**< Calls whose most likely parent was the right run, of `rows`. */
    double ownMatched = 0; /**< Calls with a deadline of their own that were matched. */
    double own = 0;
};

/** A server of 60 slots beside its daemon. Runs of three rows arrive at random with a timeout of 800 ms, and
    make four calls 10 to 300 ms after their start, one after the other. Each way between daemon and server
    takes 0.2 to 1.5 ms, and each tells the time left in whole milliseconds, rounded down. */
class ServerModel
{
public:
    ServerModel (const ServerCase& serverCase, unsigned seed)
        : params (serverCase),
          random (seed)
    {
    }

    MatchTally simulate (double seconds)
    {
        constexpr double usualMs = 1'000;
        end = seconds * usualMs;
        schedule (0, [this] { arrive(); });

        for (; ! steps.empty();)
        {
            const auto step = steps.top();
            steps.pop();
            now = step.ms;
            step.action();
        }

        return tally;
    }

private:
    struct Step
    {
        double ms = 0;
        std::function<void()> action;
        bool operator> (const Step& other) const { return ms > other.ms; }
    };

    static constexpr std::size_t callsPerRun = 4;

    double uniform (double from, double to)
    {
        return std::uniform_real_distribution<double> (from, to) (random);
    }
    double way() { return uniform (0.2, 1.5) + uniform (0, params.jitterMs); }
    void schedule (double ms, std::function<void()> action) { steps.push ({ ms, std::move (action) }); }

    void arrive()
    {
        constexpr double meanGapMs = 4;
        constexpr unsigned slots = 60;
        const double gap = std::exponential_distribution<double> (1 / meanGapMs) (random);

        if (now + gap < end)
            schedule (now + gap, [this] { arrive(); });

        if (running >= slots)
            return;

        ++running;
        const auto id = nextId++;
        // The parent's parents have used a part of the timeout of 800 ms.
        const double deadline = now + 800 - (params.isRegular ? 0 : uniform (0, 60));
        const auto kind = static_cast<unsigned> (uniform (0, 3));
        const std::string row = kind == 0 ? "ledger/2" : "ledger/1";
        const Root root{ kind == 2 ? "check/1" : "book/2", kind == 2 ? 17U : 2U };
        const double told = std::floor (deadline - now);
        recordRunBegan (state, id, { atMs (now + told), row, root });
        const double atServer = now + way();
        const double serverDeadline = atServer + told;
        std::vector<double> times;
        times.reserve (callsPerRun);

        for (unsigned n = 0; n < callsPerRun; ++n)
            times.push_back (atServer + (params.isRegular ? 10 : uniform (10, 300)));

        std::sort (times.begin(), times.end());
        // Each call takes a little, and the next one begins after it has ended.
        double free = 0;
        double last = 0;

        for (auto time : times)
        {
            const double made = params.isParallel ? times.front() : std::max (time, free);
            const double took = params.isRegular ? 40 : uniform (8, 40);
            free = made + took + 3;
            last = std::max (last, free);
            schedule (made, [this, id, row, root, serverDeadline, took]
                      { call (id, row, root, serverDeadline, took); });
        }

        schedule (last + 20,
                  [this, id]
                  {
                      recordRunEnded (state, id);
                      --running;
                  });
    }

    void call (std::uint64_t id, const std::string& row, const Root& root, double serverDeadline, double took)
    {
        const bool isOwn = uniform (0, 1) < params.ownDeadlineShare;
        const double told = isOwn ? params.ownTimeoutMs : std::floor (serverDeadline - now);
        const double arrival = now + way();
        schedule (arrival,
                  [=, this]
                  {
                      const auto origin = matchCall (
                          state, { atMs (arrival), milliseconds (static_cast<long> (told)), "price/0" });
                      schedule (arrival + took, [this, origin] { recordCallEnded (state, origin); });
                      count (origin, id, row, root, isOwn);
                  });
    }

    void count (const CallOrigin& origin, std::uint64_t id, const std::string& row, const Root& root,
                bool isOwn)
    {
        constexpr double learningMs = 2'000;

        if (now < learningMs)
            return;

        if (isOwn)
        {
            ++tally.own;
            tally.ownMatched += origin.run ? 1 : 0;
            return;
        }

        ++tally.calls;
        tally.rows += origin.parentRow.empty() ? 0 : 1;
        tally.wrongRows += origin.parentRow.empty() || origin.parentRow == row ? 0 : 1;
        tally.roots += origin.root ? 1 : 0;
        tally.wrongRoots += origin.root && *origin.root != root ? 1 : 0;
        tally.rightRuns += origin.run == id ? 1 : 0;
    }

    ServerCase params;
    std::mt19937 random;
    std::priority_queue<Step, std::vector<Step>, std::greater<>> steps;
    RunsAtServer state;
    MatchTally tally;
    double now = 0;
    double end = 0;
    unsigned running = 0;
    std::uint64_t nextId = 1;
};

MatchTally tallyOf (const ServerCase& serverCase)
{
    MatchTally sum;

    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        const auto one = ServerModel (serverCase, seed).simulate (30);
        sum.calls += one.calls;
        sum.rows += one.rows;
        sum.wrongRows += one.wrongRows;
        sum.roots += one.roots;
        sum.wrongRoots += one.wrongRoots;
        sum.rightRuns += one.rightRuns;
        sum.own += one.own;
        sum.ownMatched += one.ownMatched;
    }

    return sum;
}

std::string describe (const MatchTally& it)
{
    std::ostringstream text;
    text << "calls " << it.calls << ", root known " << it.roots / it.calls << ", wrong of these "
         << it.wrongRoots / it.roots << "; parent row known " << it.rows / it.calls << ", wrong of these "
         << it.wrongRows / it.rows << "; right run " << it.rightRuns / it.calls << "; own deadlines matched "
         << (it.own > 0 ? it.ownMatched / it.own : 0);
    return text.str();
}

} // namespace

TEST_CASE ("calls are matched to the runs that made them", "[attribution]")
{
    // Guards against an order and work estimates that rest on wrong parents.
    const auto steady = tallyOf ({});
    INFO (describe (steady));
    CHECK (steady.roots / steady.calls > 0.85);
    CHECK (steady.wrongRoots / steady.roots < 0.03);
    CHECK (steady.wrongRows / steady.rows < 0.03);
    CHECK (steady.rightRuns / steady.calls > 0.8);
}

TEST_CASE ("with a jitter of 5 ms fewer calls are matched, and still few wrongly", "[attribution]")
{
    // Guards against a fixed tolerance, which matches calls to any run nearby once the ways are slower.
    const auto jitter = tallyOf ({ 5, 0, 0, false });
    INFO (describe (jitter));
    CHECK (jitter.roots / jitter.calls > 0.6);
    CHECK (jitter.wrongRoots / jitter.roots < 0.08);
    CHECK (jitter.wrongRows / jitter.rows < 0.08);
}

TEST_CASE ("calls with a shorter deadline of their own are not matched", "[attribution]")
{
    // Guards against taking a server's own timeout for the deadline of a run that happens to end then.
    for (const auto ownMs : { 200.0, 600.0 })
    {
        const auto half = tallyOf ({ 0, 0.5, ownMs, false });
        INFO ("own timeout " << ownMs << ": " << describe (half));
        CHECK (half.ownMatched / half.own < 0.05);
        CHECK (half.roots / half.calls > 0.8);
        CHECK (half.wrongRoots / half.roots < 0.03);
    }
}

TEST_CASE ("calls of regular servers are matched", "[attribution]")
{
    // Guards against taking inherited times left for timeouts of the server, because they are often the same.
    const auto regular = tallyOf ({ 0, 0, 0, false, true });
    INFO (describe (regular));
    CHECK (regular.roots / regular.calls > 0.8);
    CHECK (regular.wrongRoots / regular.roots < 0.03);
}

TEST_CASE ("a server that makes its calls at once gets few wrong matches", "[attribution]")
{
    // Guards against the assumption that calls are sequential.
    const auto parallel = tallyOf ({ 0, 0, 0, true });
    INFO (describe (parallel));
    CHECK (parallel.roots / parallel.calls > 0.7);
    CHECK (parallel.wrongRoots / parallel.roots < 0.05);
}

TEST_CASE ("the calls that a run made before are counted", "[attribution]")
{
    RunsAtServer state;
    recordRunBegan (state, 7, { atMs (800), "ledger/1", Root{ "check/1", 17 } });

    for (unsigned n = 0; n < 4; ++n)
    {
        const auto origin = matchCall (state, { atMs (40 * n), milliseconds (801 - 40 * n), "price/0" });
        REQUIRE (origin.run == 7);
        CHECK (origin.parentRow == "ledger/1");
        CHECK (origin.root == Root{ "check/1", 17 });
        CHECK (origin.made == n);
        recordCallEnded (state, origin);
    }
}

TEST_CASE ("the parent is known where the root of the parent isn't", "[attribution]")
{
    RunsAtServer state;
    recordRunBegan (state, 7, { atMs (800), "ledger/1", {} });
    const auto origin = matchCall (state, { atMs (0), milliseconds (801), "price/0" });
    CHECK (origin.parentRow == "ledger/1");
    CHECK_FALSE (origin.root);
}

TEST_CASE ("a call without a run near its deadline is unknown", "[attribution]")
{
    // A paused machine, a run that has ended, and a server without runs.
    RunsAtServer state;
    CHECK_FALSE (matchCall (state, { atMs (0), milliseconds (801), "price/0" }).run);
    recordRunBegan (state, 7, { atMs (800), "ledger/1", Root{ "check/1", 17 } });
    CHECK_FALSE (matchCall (state, { atMs (60), milliseconds (801), "price/0" }).run);
    recordRunEnded (state, 7);
    CHECK_FALSE (matchCall (state, { atMs (0), milliseconds (801), "price/0" }).run);
}

TEST_CASE ("runs with the same deadline agree on what they share, or nothing is known", "[attribution]")
{
    RunsAtServer state;
    recordRunBegan (state, 1, { atMs (800), "ledger/1", Root{ "check/1", 17 } });
    recordRunBegan (state, 2, { atMs (800), "ledger/1", Root{ "book/2", 2 } });
    const auto origin = matchCall (state, { atMs (0), milliseconds (801), "price/0" });
    CHECK (origin.parentRow == "ledger/1");
    CHECK_FALSE (origin.root);
    recordCallEnded (state, origin);
    recordRunBegan (state, 3, { atMs (800), "roster/1", Root{ "check/1", 17 } });
    const auto doubtful = matchCall (state, { atMs (0), milliseconds (801), "price/0" });
    CHECK (doubtful.parentRow.empty());
    CHECK_FALSE (doubtful.root);
    CHECK_FALSE (doubtful.run);
}

TEST_CASE ("the number of recorded runs is bounded", "[attribution]")
{
    RunsAtServer state;

    for (std::uint64_t id = 0; id < maxRuns + 10; ++id)
        recordRunBegan (state, id, { atMs (800), "ledger/1", {} });

    CHECK (state.runs.size() == maxRuns);
}
