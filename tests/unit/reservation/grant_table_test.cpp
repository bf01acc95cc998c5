/** Guards against slots that are leaked, granted twice or taken by requests of ended grants. */

#include <catch2/catch.hpp>
#include <memory>

#include "admission/policy/fixed_limit.hpp"
#include "reservation/grant_table.hpp"

using namespace anisehold;
using namespace anisehold::reservation;
using admission::CommitVerdict;
using admission::GateCall;
using admission::GateVerdict;

namespace
{

const TimePoint start{ seconds (100) };

/** One gate with its table, and numbers that count up. */
struct TestGate
{
    explicit TestGate (unsigned limit)
        : gate (std::make_unique<admission::FixedLimit> (limit), admission::GateOptions{ true, 1.5 })
    {
    }

    GateCall call (TimePoint now, unsigned priority = 1)
    {
        GateCall made;
        made.id = ++lastRun;
        made.priority = priority;
        made.root_started = now;
        made.deadline = now + seconds (5);
        made.latest_start = now + seconds (2);
        return made;
    }

    ReserveDecision ask (TimePoint now, unsigned priority = 1)
    {
        return reserve (gate, table, now, call (now, priority), [this] { return ++lastNumber; });
    }

    /** Starts direct requests until the limit is reached. */
    std::vector<std::uint64_t> fill (TimePoint now, unsigned count)
    {
        std::vector<std::uint64_t> runs;

        for (unsigned n = 0; n < count; ++n)
        {
            const auto made = call (now);
            REQUIRE (gate.arrive (now, made).verdict == GateVerdict::kAdmitted);
            runs.push_back (made.id);
        }

        return runs;
    }

    /** Ends a run, and tells the table which reservations have a slot now. */
    std::vector<std::uint64_t> finish (TimePoint now, std::uint64_t run)
    {
        auto admitted = gate.finish (now, run, admission::SampleOutcome::kCompleted, Duration::zero());

        for (const auto it : admitted)
            onAdmitted (table, now, it);

        return admitted;
    }

    /** Makes the gate expect that requests take 16 ms and arrive this long after their grants. */
    void teach (Duration commitDelay)
    {
        constexpr int numRequests = 200;

        for (int n = 0; n < numRequests; ++n)
        {
            const auto before = start - seconds (numRequests - n);
            const auto grant = ask (before);
            const auto run = ++lastRun;
            REQUIRE (commit (gate, table, before + commitDelay, grant.number, run) == CommitVerdict::kRuns);
            finish (before + commitDelay + milliseconds (16), run);
        }
    }

    admission::ServerGate gate;
    GrantTable table;
    std::uint64_t lastRun = 0;
    std::uint64_t lastNumber = 1'000;
};

} // namespace

TEST_CASE ("a grant occupies a slot until its request arrives, and the request keeps it")
{
    TestGate it (2);
    const auto first = it.ask (start);
    REQUIRE (first.verdict == ReserveVerdict::granted);
    it.fill (start, 1);
    CHECK (it.gate.load().in_flight == 2);
    CHECK (it.gate.arrive (start, it.call (start)).verdict == GateVerdict::kQueued);
    const auto verdict = commit (it.gate, it.table, start + milliseconds (3), first.number, 77);
    REQUIRE (verdict == CommitVerdict::kRuns);
    CHECK (it.gate.load().in_flight == 2);
    CHECK (it.table.places.empty());
    CHECK (it.finish (start + milliseconds (9), 77).size() == 1);
}

TEST_CASE ("of several requests with one grant only the first may run")
{
    TestGate it (4);
    const auto grant = it.ask (start);
    CHECK (commit (it.gate, it.table, start, grant.number, 77));
    CHECK_FALSE (commit (it.gate, it.table, start, grant.number, 78));
    CHECK (it.gate.load().in_flight == 1);
}

TEST_CASE ("a request of an unknown grant must not run")
{
    TestGate it (4);
    CHECK_FALSE (commit (it.gate, it.table, start, 4'711, 77));
    CHECK (it.gate.load().in_flight == 0);
}

TEST_CASE ("a request that arrives after the validity must not run, even before the expiry was processed")
{
    TestGate it (4);
    const auto grant = it.ask (start);
    CHECK_FALSE (commit (it.gate, it.table, start + grantValidity, grant.number, 77));
    const auto ended = expire (it.gate, it.table, start + grantValidity);
    CHECK (ended.grants == 1);
    CHECK (it.gate.load().in_flight == 0);
    CHECK (it.table.numberOfRun.empty());
}

TEST_CASE ("a caller that is gone costs one slot for the validity, then the next waiting call gets it")
{
    TestGate it (1);
    REQUIRE (it.ask (start).verdict == ReserveVerdict::granted);
    const auto direct = it.call (start);
    REQUIRE (it.gate.arrive (start, direct).verdict == GateVerdict::kQueued);
    CHECK (expire (it.gate, it.table, start + grantValidity - milliseconds (1)).admitted.empty());
    CHECK (nextExpiry (it.table) == start + grantValidity);
    const auto ended = expire (it.gate, it.table, start + grantValidity);
    REQUIRE (ended.admitted.size() == 1);
    CHECK (ended.admitted.front() == direct.id);
}

TEST_CASE ("a withdrawn grant frees its slot at once, and a withdrawn place leaves the queue")
{
    TestGate it (1);
    const auto grant = it.ask (start);
    const auto place = it.ask (start);
    REQUIRE (place.verdict == ReserveVerdict::waiting);
    CHECK (withdraw (it.gate, it.table, start, place.number).places == 1);
    CHECK (it.gate.load().queued == 0);
    CHECK (withdraw (it.gate, it.table, start, grant.number).grants == 1);
    CHECK (it.gate.load().in_flight == 0);
    CHECK (withdraw (it.gate, it.table, start, grant.number).grants == 0);
}

TEST_CASE ("a place keeps its position while it is renewed, and is granted in turn")
{
    TestGate it (1);
    const auto runs = it.fill (start, 1);
    const auto place = it.ask (start);
    REQUIRE (place.verdict == ReserveVerdict::waiting);
    REQUIRE (it.gate.arrive (start + milliseconds (1), it.call (start + milliseconds (1))).verdict ==
             GateVerdict::kQueued);
    onReplied (it.table, start + maxReplyDelay, place.number);
    CHECK (renew (it.table, start + milliseconds (45), place.number).verdict == ReserveVerdict::waiting);
    onReplied (it.table, start + milliseconds (85), place.number);
    const auto admitted = it.finish (start + milliseconds (86), runs.front());
    REQUIRE (admitted.size() == 1);
    CHECK (admitted.front() == place.run);
    CHECK (renew (it.table, start + milliseconds (90), place.number).verdict == ReserveVerdict::granted);
    CHECK (commit (it.gate, it.table, start + milliseconds (93), place.number, 77) == CommitVerdict::kRuns);
}

TEST_CASE ("a place that is not renewed is given up, and cannot be renewed later")
{
    TestGate it (1);
    it.fill (start, 1);
    const auto place = it.ask (start);
    CHECK_FALSE (nextExpiry (it.table));
    onReplied (it.table, start + maxReplyDelay, place.number);
    const auto end = start + maxReplyDelay + renewalTime;
    CHECK (nextExpiry (it.table) == end);
    CHECK (renew (it.table, end, place.number).verdict == ReserveVerdict::unknown);
    CHECK (expire (it.gate, it.table, end).places == 1);
    CHECK (it.gate.load().queued == 0);
}

TEST_CASE ("a place whose reply is pending does not expire, however late the reply is")
{
    TestGate it (1);
    it.fill (start, 1);
    const auto place = it.ask (start);
    CHECK (expire (it.gate, it.table, start + seconds (1)).places == 0);
    CHECK (renew (it.table, start + seconds (1), place.number).verdict == ReserveVerdict::unknown);
}

TEST_CASE ("a place that lost the queue to an urgent call is unknown afterwards")
{
    TestGate it (1);
    it.fill (start, 1);

    for (int n = 0; n < 16; ++n)
        REQUIRE (it.ask (start, 5).verdict == ReserveVerdict::waiting);

    const auto urgent = it.ask (start, 0);
    REQUIRE (urgent.verdict == ReserveVerdict::waiting);
    REQUIRE (urgent.evicted);
    onEvicted (it.table, *urgent.evicted);
    CHECK (it.table.places.size() == 16);
    CHECK (it.table.numberOfRun.size() == 16);
}

TEST_CASE ("an eighth of the limit is granted ahead of free slots, and requests never exceed the limit")
{
    TestGate it (16);
    it.teach (milliseconds (10));
    const auto runs = it.fill (start, 16);
    const auto first = it.ask (start);
    const auto second = it.ask (start);
    REQUIRE (first.verdict == ReserveVerdict::granted);
    REQUIRE (second.verdict == ReserveVerdict::granted);
    CHECK (it.ask (start).verdict == ReserveVerdict::waiting);
    CHECK (it.gate.load().in_flight == 16);

    // No slot is free when the request arrives, so it waits, but precedes an urgent call in the queue.
    REQUIRE (it.gate.arrive (start, it.call (start, 0)).verdict == GateVerdict::kQueued);
    REQUIRE (commit (it.gate, it.table, start + milliseconds (2), first.number, 77) == CommitVerdict::kWaits);
    const auto admitted = it.finish (start + milliseconds (3), runs[0]);
    REQUIRE_FALSE (admitted.empty());
    CHECK (admitted.front() == 77);
}

TEST_CASE ("no more is granted ahead than slots become free between a grant and its request")
{
    TestGate it (64);
    it.teach (microseconds (1'100));
    CHECK (it.gate.reservations_ahead() == 4);
}

TEST_CASE ("nothing is granted ahead while requests arrive much faster than slots become free")
{
    TestGate it (8);
    it.teach (microseconds (500));
    CHECK (it.gate.reservations_ahead() == 0);
}

TEST_CASE ("a small limit grants nothing ahead, since a request would wait for long")
{
    TestGate it (7);
    it.teach (milliseconds (10));
    it.fill (start, 7);
    CHECK (it.ask (start).verdict == ReserveVerdict::waiting);
}

TEST_CASE ("reservations ahead of free slots never overtake a direct call that precedes them")
{
    TestGate it (16);
    it.teach (milliseconds (10));
    const auto runs = it.fill (start, 16);
    const auto direct = it.call (start);
    REQUIRE (it.gate.arrive (start, direct).verdict == GateVerdict::kQueued);
    CHECK (it.ask (start + milliseconds (1)).verdict == ReserveVerdict::waiting);
    const auto admitted = it.finish (start + milliseconds (2), runs[0]);
    REQUIRE_FALSE (admitted.empty());
    CHECK (admitted.front() == direct.id);
}

TEST_CASE ("a committed request that stops waiting for its slot leaves no place behind")
{
    TestGate it (8);
    it.teach (milliseconds (10));
    const auto runs = it.fill (start, 8);
    const auto grant = it.ask (start);
    REQUIRE (commit (it.gate, it.table, start, grant.number, 77) == CommitVerdict::kWaits);
    CHECK (it.gate.free_reserved (start, 77).empty());

    for (const auto run : runs)
        it.finish (start + milliseconds (5), run);

    CHECK (it.gate.load().in_flight == 0);
}

TEST_CASE ("a slot of an ended grant does not go to a place that ends at the same time")
{
    TestGate it (1);
    const auto grant = it.ask (start);
    const auto place = it.ask (start);
    REQUIRE (place.verdict == ReserveVerdict::waiting);
    onReplied (it.table, start, place.number);
    CHECK (expire (it.gate, it.table, start + seconds (1)).admitted.empty());
    CHECK (it.gate.load().in_flight == 0);
    CHECK (it.gate.load().queued == 0);
    CHECK (it.table.places.empty());
    CHECK_FALSE (commit (it.gate, it.table, start + seconds (1), grant.number, 77));
}

TEST_CASE ("a refusal of a full gate leaves no place in the table")
{
    TestGate it (1);
    it.fill (start, 1);

    for (int n = 0; n < 16; ++n)
        REQUIRE (it.ask (start).verdict == ReserveVerdict::waiting);

    CHECK (it.ask (start).verdict == ReserveVerdict::refused);
    CHECK (it.table.places.size() == 16);
}
