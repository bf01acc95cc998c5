#include "soak/promises.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::soak;

namespace
{

const RequestId payment{ "p1" };
const RequestId lookup{ "l1" };
const InstanceId one{ "i-1" };
const InstanceId other{ "i-2" };

/** A checker that knows one request of each kind. */
PromiseChecker checkerWithRequests()
{
    PromiseChecker checker (milliseconds (500), seconds (3));
    checker.onSent ({ payment, "pay", "/pay/1", false, 2 });
    checker.onSent ({ lookup, "back", "/back/1", true, 2 });
    return checker;
}

Arrival arrivalOf (const RequestId& id, const InstanceId& at, bool runs = true)
{
    const bool pays = id == payment;
    return { id, at, pays ? "pay" : "back", pays ? "/pay/1" : "/back/1", runs, TimePoint (seconds (10)) };
}

ReceivedAnswer successOf (const RequestId& id)
{
    return { id, 200, id.value, "signed", id == payment ? "pay /pay/1" : "back /back/1" };
}

void checkOnly (const PromiseChecker& checker, Promise promise)
{
    REQUIRE (checker.broken().size() == 1);
    CHECK (checker.broken().front().promise == promise);
}

} // namespace

TEST_CASE ("a sound run breaks nothing", "[soak]")
{
    auto checker = checkerWithRequests();
    checker.onArrival (arrivalOf (payment, one));
    checker.onAnswer (successOf (payment));
    checker.onArrival (arrivalOf (lookup, one));
    checker.onArrival (arrivalOf (lookup, other));
    checker.onAnswer (successOf (lookup));
    checker.finish();
    CHECK (checker.broken().empty());
    CHECK (checker.numServed() == 2);
}

TEST_CASE ("a payment that runs twice is seen", "[soak]")
{
    auto checker = checkerWithRequests();
    checker.onArrival (arrivalOf (payment, one));
    checker.onArrival (arrivalOf (payment, other));
    checkOnly (checker, Promise::runsOnce);
}

TEST_CASE ("a payment may go to another server after one that declined it", "[soak]")
{
    auto checker = checkerWithRequests();
    checker.onArrival (arrivalOf (payment, one, false));
    checker.onArrival (arrivalOf (payment, other));
    checker.finish();
    CHECK (checker.broken().empty());
}

TEST_CASE ("a refused payment that runs is seen, whichever comes first", "[soak]")
{
    const unsigned status = GENERATE (408U, 421U, 429U, 503U);
    const bool runsFirst = GENERATE (true, false);
    auto checker = checkerWithRequests();

    if (runsFirst)
        checker.onArrival (arrivalOf (payment, one));

    checker.onAnswer ({ payment, status, "p1", "", "" });

    if (! runsFirst)
        checker.onArrival (arrivalOf (payment, one));

    checker.finish();
    checkOnly (checker, Promise::refusedNeverRuns);
}

TEST_CASE ("an answer without a promise may have run", "[soak]")
{
    auto checker = checkerWithRequests();
    checker.onArrival (arrivalOf (payment, one));
    checker.onAnswer ({ payment, 502, "p1", "", "" });
    checker.finish();
    CHECK (checker.broken().empty());
}

TEST_CASE ("a success that isn't the server's own answer is seen", "[soak]")
{
    auto answer = successOf (lookup);
    const int part = GENERATE (0, 1, 2);

    if (part == 0)
        answer.echoedId = "another";
    else if (part == 1)
        answer.signature.clear();
    else
        answer.body = "back /back/";

    auto checker = checkerWithRequests();
    checker.onAnswer (answer);
    checkOnly (checker, Promise::answerIsOwn);
}

TEST_CASE ("requests that nobody sent, or that were changed, are seen", "[soak]")
{
    auto checker = checkerWithRequests();
    checker.onArrival (arrivalOf (RequestId ("smuggled"), one));
    checkOnly (checker, Promise::nothingUnasked);

    auto second = checkerWithRequests();
    auto changed = arrivalOf (lookup, one);
    changed.target = "/back/2";
    second.onArrival (changed);
    checkOnly (second, Promise::nothingUnasked);
}

TEST_CASE ("a run at another service is seen", "[soak]")
{
    auto checker = checkerWithRequests();
    auto wrong = arrivalOf (lookup, one);
    wrong.service = "pay";
    checker.onArrival (wrong);
    checkOnly (checker, Promise::rightService);
}

TEST_CASE ("more servers than the route allows are seen once", "[soak]")
{
    auto checker = checkerWithRequests();

    for (int n = 0; n < 4; ++n)
        checker.onArrival (arrivalOf (lookup, one));

    checkOnly (checker, Promise::boundedServers);
}

TEST_CASE ("an arrival long after the acknowledged leave is seen", "[soak]")
{
    auto checker = checkerWithRequests();
    checker.onLeaveAcknowledged (one, TimePoint (milliseconds (9'600)));
    checker.onArrival (arrivalOf (lookup, one));
    CHECK (checker.broken().empty());

    auto late = checkerWithRequests();
    late.onLeaveAcknowledged (one, TimePoint (milliseconds (9'400)));
    late.onArrival (arrivalOf (lookup, one));
    checkOnly (late, Promise::drainedIsLeft);
}

TEST_CASE ("a tenant that isn't the key's, and a key that is shown, are seen", "[soak]")
{
    PromiseChecker checker (milliseconds (500), seconds (3));
    checker.onSent ({ lookup, "back", "/back/1", true, 2, "blue" });
    auto arrival = arrivalOf (lookup, one);
    arrival.tenant = "blue";
    checker.onArrival (arrival);
    CHECK (checker.broken().empty());
    arrival.tenant = "green";
    checker.onArrival (arrival);
    checkOnly (checker, Promise::tenantIsSet);

    auto shown = checkerWithRequests();
    auto withKey = arrivalOf (lookup, one);
    withKey.showsKey = true;
    shown.onArrival (withKey);
    checkOnly (shown, Promise::keyIsHidden);
}

TEST_CASE ("a call that a server makes belongs to no tenant", "[soak]")
{
    auto checker = checkerWithRequests();
    auto call = arrivalOf (RequestId ("p:call-1"), one);
    checker.onArrival (call);
    CHECK (checker.broken().empty());
    call.tenant = "blue";
    checker.onArrival (call);
    checkOnly (checker, Promise::tenantIsSet);
}

TEST_CASE ("a request with a key that was taken away long before it was sent is seen", "[soak]")
{
    const TimePoint taken (seconds (20));
    PromiseChecker checker (milliseconds (500), seconds (3));
    checker.onSent ({ lookup, "back", "/back/1", true, 2, "", true, taken + milliseconds (2'999) });
    checker.onSent ({ payment, "pay", "/pay/1", false, 2, "", true, taken + milliseconds (3'001) });
    checker.onKeyTakenAway (taken);
    checker.onArrival (arrivalOf (lookup, one));
    CHECK (checker.broken().empty());
    checker.onArrival (arrivalOf (payment, one));
    checkOnly (checker, Promise::revokedIsRefused);
}

namespace
{

constexpr double limitPerS = 2;
const TimePoint named = TimePoint (seconds (100));

/** A checker of a server with a limit of two a second, named from 100 s on, and of as many requests at
 * machine 4. */
PromiseChecker limitedChecker (std::size_t numRequests)
{
    PromiseChecker checker (milliseconds (500), seconds (3));
    checker.onLimitNamed (one, limitPerS, named, named + seconds (20));

    for (std::size_t n = 0; n < numRequests; ++n)
    {
        SentRequest sent{ RequestId ("l" + std::to_string (n)), "back", "/back/1", true, 2 };
        sent.machine = 4;
        checker.onSent (sent);
    }

    return checker;
}

/** The first request's answer, which names what is given. */
ReceivedAnswer answerWith (bool namesLimit, bool announcesLeaving)
{
    return { RequestId ("l0"), 200, "l0", "i-1.l0", "back /back/1", namesLimit, announcesLeaving, named };
}

void arrive (PromiseChecker& checker, std::size_t request, TimePoint at)
{
    checker.onArrival ({ RequestId ("l" + std::to_string (request)), one, "back", "/back/1", true, at });
}

/** Requests 50 ms apart, from so long after the naming on. */
void arriveMany (PromiseChecker& checker, std::size_t numRequests, seconds after)
{
    for (std::size_t n = 0; n < numRequests; ++n)
        arrive (checker, n, named + after + milliseconds (50 * n));
}

constexpr std::size_t numAllowed = 17;

} // namespace

TEST_CASE ("more than a server's limit from machines that were told is seen", "[soak]")
{
    const auto numBeyond = GENERATE (0U, 1U);
    const auto numRequests = numAllowed + numBeyond;
    auto checker = limitedChecker (numRequests);
    checker.onAnswer (answerWith (true, false));
    arriveMany (checker, numRequests, seconds (4));
    CHECK (checker.broken().size() == numBeyond);
}

TEST_CASE ("what a limit doesn't bind isn't held against it", "[soak]")
{
    auto checker = limitedChecker (60);

    SECTION ("nobody was told") {}
    SECTION ("the machine was struck since")
    {
        checker.onAnswer (answerWith (true, false));
        checker.onMachineDisturbed (4, named + seconds (1), false);
    }
    SECTION ("it was named a moment ago")
    {
        checker.onAnswer (answerWith (true, false));
        arriveMany (checker, 30, seconds (1));
        CHECK (checker.broken().empty());
        return;
    }

    arriveMany (checker, 60, seconds (4));
    CHECK (checker.broken().empty());
}

TEST_CASE ("a request sent long after the machine was told of a leaving is seen", "[soak]")
{
    PromiseChecker checker (milliseconds (500), seconds (3));
    SentRequest sent{ RequestId ("l0"), "back", "/back/1", true, 2 };
    sent.machine = 4;
    sent.at = named + milliseconds (600);
    checker.onSent (sent);
    bool isBound = true;

    SECTION ("in touch")
    {
        checker.onAnswer (answerWith (false, true));
    }
    SECTION ("cut off since")
    {
        checker.onAnswer (answerWith (false, true));
        checker.onMachineDisturbed (4, named + milliseconds (100), false);
    }
    SECTION ("restarted since")
    {
        checker.onAnswer (answerWith (false, true));
        checker.onMachineDisturbed (4, named + milliseconds (100), true);
        isBound = false;
    }

    arrive (checker, 0, named + milliseconds (700));
    CHECK (checker.broken().size() == (isBound ? 1 : 0));
}
