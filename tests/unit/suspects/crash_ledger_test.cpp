#include "suspects/crash_ledger.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::suspects;

namespace
{

const TimePoint start{ seconds (1'000) };
const CallerDigest shop{ 1 };
const CallerDigest desk{ 2 };
const CallerDigest till{ 3 };
const RequestDigest page{ 0, 7 };
const RequestIdentity shopPage{ page, shop };
const RequestIdentity deskPage{ page, desk };
const RequestIdentity tillPage{ page, till };

} // namespace

TEST_CASE ("three consecutive crashes condemn a request, two do not", "[suspects]")
{
    CrashLedger ledger;
    CHECK (recordCrashes (ledger, start, shopPage, 1));
    CHECK (recordCrashes (ledger, start, shopPage, 2));
    CHECK_FALSE (isCondemned (ledger, start, shopPage));
    CHECK (recordCrashes (ledger, start, shopPage, 3));
    CHECK (isCondemned (ledger, start, shopPage));
    CHECK (crashesOf (ledger, start, shopPage) == 3);
}

TEST_CASE ("simultaneous crashes of several servers count once", "[suspects]")
{
    CrashLedger ledger;

    for (int n = 0; n < 10; ++n)
        recordCrashes (ledger, start, shopPage, 1);

    CHECK (crashesOf (ledger, start, shopPage) == 1);
}

TEST_CASE ("reports that arrive out of order or twice lead to the same ledger", "[suspects]")
{
    CrashLedger ledger;
    CHECK (recordCrashes (ledger, start, shopPage, 3, seconds (1)));
    CHECK_FALSE (recordCrashes (ledger, start, shopPage, 1));
    CHECK_FALSE (recordCrashes (ledger, start, shopPage, 3));
    CHECK (isCondemned (ledger, start + firstCondemnation - milliseconds (1'001), shopPage));
    CHECK_FALSE (isCondemned (ledger, start + firstCondemnation - milliseconds (999), shopPage));
}

TEST_CASE ("a response clears a request, and a late crash report does not make it a suspect again",
           "[suspects]")
{
    CrashLedger ledger;
    recordCrashes (ledger, start, shopPage, 2);
    CHECK (recordAnswered (ledger, start, shopPage));
    CHECK (crashesOf (ledger, start, shopPage) == 0);
    CHECK_FALSE (recordCrashes (ledger, start + seconds (1), shopPage, 2, seconds (1)));
    CHECK (crashesOf (ledger, start + seconds (1), shopPage) == 0);
    CHECK (recordCrashes (ledger, start + clearedLifetime, shopPage, 1));
}

TEST_CASE ("the report of a response may arrive before the report of the crash", "[suspects]")
{
    CrashLedger ledger;
    CHECK_FALSE (recordCleared (ledger, start, shopPage, milliseconds (5)));
    CHECK_FALSE (recordCrashes (ledger, start, shopPage, 1, milliseconds (10)));
    CHECK (ledger.suspects.empty());
}

TEST_CASE ("a response to a request that is not a suspect is not recorded", "[suspects]")
{
    CrashLedger ledger;
    CHECK_FALSE (recordAnswered (ledger, start, shopPage));
    CHECK (ledger.cleared.empty());
}

TEST_CASE ("the same request of another caller is a strong suspect until it crashes a server itself",
           "[suspects]")
{
    CrashLedger ledger;
    recordCrashes (ledger, start, shopPage, 3);
    CHECK (crashesOf (ledger, start, deskPage) == 2);
    CHECK_FALSE (isCondemned (ledger, start, deskPage));

    SECTION ("after it crashes a server, the request is condemned for all callers")
    {
        CHECK (recordCrashes (ledger, start, deskPage, 3));
        CHECK (isCondemned (ledger, start, deskPage));
        CHECK (isCondemned (ledger, start, tillPage));
    }

    SECTION ("if it is answered, it is harmless, and the first caller's request stays condemned")
    {
        CHECK (recordAnswered (ledger, start, deskPage));
        CHECK (crashesOf (ledger, start, deskPage) == 0);
        CHECK (isCondemned (ledger, start, shopPage));
        CHECK_FALSE (isCondemned (ledger, start, tillPage));
    }
}

TEST_CASE ("a chain of crashes continues across callers", "[suspects]")
{
    CrashLedger ledger;
    recordCrashes (ledger, start, shopPage, 1);
    recordCrashes (ledger, start, shopPage, crashesOf (ledger, start, shopPage) + 1);
    recordCrashes (ledger, start, deskPage, crashesOf (ledger, start, deskPage) + 1);
    CHECK (isCondemned (ledger, start, shopPage));
    CHECK (isCondemned (ledger, start, tillPage));
}

TEST_CASE ("a condemnation ends with a trial, and a failed trial extends the next condemnation", "[suspects]")
{
    CrashLedger ledger;
    recordCrashes (ledger, start, shopPage, 3);
    const auto trial = start + firstCondemnation;
    CHECK_FALSE (isCondemned (ledger, trial, shopPage));
    CHECK (crashesOf (ledger, trial, shopPage) == 3);
    recordCrashes (ledger, trial, shopPage, 4);
    CHECK (isCondemned (ledger, trial + condemnationGrowth * firstCondemnation - seconds (1), shopPage));
    CHECK (condemnationTime (maxCrashes) == maxCondemnation);
    CHECK (condemnationTime (2) == Duration::zero());
}

TEST_CASE ("old suspects expire, and the number of suspects is bounded", "[suspects]")
{
    CrashLedger ledger;
    recordCrashes (ledger, start, shopPage, 3);

    for (std::uint64_t n = 0; n < 2 * maxSuspects; ++n)
        recordCrashes (ledger, start + milliseconds (n), { { 1, n }, shop }, 1);

    CHECK (ledger.suspects.size() == maxSuspects);
    CHECK (crashesOf (ledger, start, shopPage) == 3);
    CHECK (crashesOf (ledger, start, { { 1, 0 }, shop }) == 0);
    CHECK (crashesOf (ledger, start, { { 1, 2 * maxSuspects - 1 }, shop }) == 1);

    expire (ledger, start + suspectLifetime + seconds (10));
    CHECK (ledger.suspects.size() == 1);
    expire (ledger, start + firstCondemnation + suspectLifetime + seconds (1));
    CHECK (ledger.suspects.empty());
}

TEST_CASE ("a verdict that an operator lifts is cleared for all callers", "[suspects]")
{
    CrashLedger ledger;
    recordCrashes (ledger, start, shopPage, 3);
    recordCrashes (ledger, start, deskPage, 3);
    CHECK (clearRequest (ledger, start, page));
    CHECK_FALSE (clearRequest (ledger, start, page));
    CHECK (crashesOf (ledger, start, shopPage) == 0);
    CHECK_FALSE (recordCrashes (ledger, start + seconds (1), deskPage, 3, seconds (1)));
}

TEST_CASE ("a crash with a strong suspect running is attributed to that suspect alone", "[suspects]")
{
    const RequestIdentity other{ { 0, 8 }, shop };
    CHECK (likelyCauses ({ { shopPage, 1 }, { other, 0 } }).size() == 2);
    const auto strong = likelyCauses ({ { shopPage, 2 }, { other, 1 } });
    REQUIRE (strong.size() == 1);
    CHECK (strong.front().request == shopPage);
    CHECK (likelyCauses ({}).empty());
}
