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

/** Returns a checker with one request of each kind. */
PromiseChecker checkerWithRequests()
{
    PromiseChecker checker (milliseconds (500), seconds (3));
    checker.onSent ({ payment, "pay", "/pay/1", false, 2 });
    checker.onSent ({ lookup, "back", "/back/1", true, 2 });
    return checker;
}

/** The same for a lookup whose declined sends may be repeated. */
PromiseChecker checkerWithRepeats()
{
    PromiseChecker checker (milliseconds (500), seconds (3));
    SentRequest sent{ lookup, "back", "/back/1", true, 2 };
    sent.maxArrivals = 6;
    checker.onSent (sent);
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

TEST_CASE ("a correct run breaks no promise", "[soak]")
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

TEST_CASE ("a payment that runs twice is reported", "[soak]")
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

TEST_CASE ("a refused payment that runs is reported, in either order of events", "[soak]")
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

TEST_CASE ("a request refused without a promise may have run", "[soak]")
{
    auto checker = checkerWithRequests();
    checker.onArrival (arrivalOf (payment, one));
    checker.onAnswer ({ payment, 502, "p1", "", "" });
    checker.finish();
    CHECK (checker.broken().empty());
}

TEST_CASE ("a success that is not the server's own response is reported", "[soak]")
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

TEST_CASE ("requests that no client sent, or that were changed, are reported", "[soak]")
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

TEST_CASE ("a run at another service is reported", "[soak]")
{
    auto checker = checkerWithRequests();
    auto wrong = arrivalOf (lookup, one);
    wrong.service = "pay";
    checker.onArrival (wrong);
    checkOnly (checker, Promise::rightService);
}

TEST_CASE ("more servers than the route allows are reported once", "[soak]")
{
    auto checker = checkerWithRequests();

    for (int n = 0; n < 4; ++n)
        checker.onArrival (arrivalOf (lookup, one));

    checkOnly (checker, Promise::boundedServers);
}

// Guards against a check that takes repeated offers of a declined request to one server for several servers,
// and against one that no longer sees too many servers, runs or offers.
TEST_CASE ("a declined request may be offered again, but to no more servers than allowed", "[soak]")
{
    const auto declinedAt = [] (const InstanceId& server)
    {
        auto arrival = arrivalOf (lookup, server);
        arrival.runs = false;
        return arrival;
    };
    auto checker = checkerWithRepeats();

    for (int n = 0; n < 3; ++n)
    {
        checker.onArrival (declinedAt (one));
        checker.onArrival (declinedAt (other));
    }

    CHECK (checker.broken().empty());
    checker.onArrival (declinedAt (one));
    checkOnly (checker, Promise::boundedServers);

    auto thirdServer = checkerWithRepeats();

    for (const auto& server : { one, other, InstanceId{ "i-3" } })
        thirdServer.onArrival (declinedAt (server));

    checkOnly (thirdServer, Promise::boundedServers);

    auto thirdRun = checkerWithRepeats();

    for (int n = 0; n < 3; ++n)
        thirdRun.onArrival (arrivalOf (lookup, one));

    checkOnly (thirdRun, Promise::boundedServers);
}

TEST_CASE ("an arrival long after the acknowledged leave is reported", "[soak]")
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

TEST_CASE ("a tenant other than the key's, and a key sent to a server, are reported", "[soak]")
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

TEST_CASE ("a nested call belongs to no tenant", "[soak]")
{
    auto checker = checkerWithRequests();
    auto call = arrivalOf (RequestId ("p:call-1"), one);
    checker.onArrival (call);
    CHECK (checker.broken().empty());
    call.tenant = "blue";
    checker.onArrival (call);
    checkOnly (checker, Promise::tenantIsSet);
}

TEST_CASE ("a request with a key that was revoked long before it was sent is reported", "[soak]")
{
    const TimePoint revoked (seconds (20));
    PromiseChecker checker (milliseconds (500), seconds (3));
    checker.onSent ({ lookup, "back", "/back/1", true, 2, "", true, revoked + milliseconds (2'999) });
    checker.onSent ({ payment, "pay", "/pay/1", false, 2, "", true, revoked + milliseconds (3'001) });
    checker.onKeyRevoked (revoked);
    checker.onArrival (arrivalOf (lookup, one));
    CHECK (checker.broken().empty());
    checker.onArrival (arrivalOf (payment, one));
    checkOnly (checker, Promise::revokedIsRefused);
}

namespace
{

constexpr double limitPerS = 2;
const TimePoint named = TimePoint (seconds (100));

/** A checker with a server whose limit of two per second is stated from 100 s on, and with `requests`
    requests at machine 4. */
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

/** The response to the first request, which states the given notices. */
ReceivedAnswer answerWith (bool namesLimit, bool announcesLeaving)
{
    return { RequestId ("l0"), 200, "l0", "i-1.l0", "back /back/1", namesLimit, announcesLeaving, named };
}

void arrive (PromiseChecker& checker, std::size_t request, TimePoint at)
{
    checker.onArrival ({ RequestId ("l" + std::to_string (request)), one, "back", "/back/1", true, at });
}

/** Requests at intervals of 50 ms, from the given time after the limit was stated. */
void arriveMany (PromiseChecker& checker, std::size_t numRequests, seconds after)
{
    for (std::size_t n = 0; n < numRequests; ++n)
        arrive (checker, n, named + after + milliseconds (50 * n));
}

constexpr std::size_t numAllowed = 17;

} // namespace

TEST_CASE ("exceeding a server's limit by machines that forwarded it is reported", "[soak]")
{
    const auto numBeyond = GENERATE (0U, 1U);
    const auto numRequests = numAllowed + numBeyond;
    auto checker = limitedChecker (numRequests);
    checker.onAnswer (answerWith (true, false));
    arriveMany (checker, numRequests, seconds (4));
    CHECK (checker.broken().size() == numBeyond);
}

TEST_CASE ("requests to which a limit does not apply do not break it", "[soak]")
{
    auto checker = limitedChecker (60);

    SECTION ("no machine forwarded the limit") {}
    SECTION ("the machine was disturbed since")
    {
        checker.onAnswer (answerWith (true, false));
        checker.onMachineDisturbed (4, named + seconds (1), false);
    }
    SECTION ("the limit was stated too recently")
    {
        checker.onAnswer (answerWith (true, false));
        arriveMany (checker, 30, seconds (1));
        CHECK (checker.broken().empty());
        return;
    }

    arriveMany (checker, 60, seconds (4));
    CHECK (checker.broken().empty());
}

TEST_CASE ("a request sent long after the machine forwarded a leaving notice is reported", "[soak]")
{
    PromiseChecker checker (milliseconds (500), seconds (3));
    SentRequest sent{ RequestId ("l0"), "back", "/back/1", true, 2 };
    sent.machine = 4;
    sent.at = named + milliseconds (600);
    checker.onSent (sent);
    bool isBound = true;

    SECTION ("connected")
    {
        checker.onAnswer (answerWith (false, true));
    }
    SECTION ("disconnected since")
    {
        checker.onAnswer (answerWith (false, true));
        checker.onMachineDisturbed (4, named + milliseconds (100), false);
    }
    SECTION ("restarted since then")
    {
        checker.onAnswer (answerWith (false, true));
        checker.onMachineDisturbed (4, named + milliseconds (100), true);
        isBound = false;
    }

    arrive (checker, 0, named + milliseconds (700));
    CHECK (checker.broken().size() == (isBound ? 1 : 0));
}

TEST_CASE ("a stopping machine must answer the requests that it takes", "[soak]")
{
    constexpr milliseconds grace{ 3'000 };
    const TimePoint signalled (seconds (10));
    PromiseChecker checker (milliseconds (500), seconds (3));
    checker.onStopPlanned (1, signalled, grace);

    /** Sends a request to the machine, which a server runs at once if `runs`. */
    const auto send = [&] (milliseconds after, bool runs, std::size_t machine = 1)
    {
        SentRequest sent{ payment, "pay", "/pay/1", false, 2 };
        sent.at = signalled + after;
        sent.machine = machine;
        sent.timeLeft = milliseconds (1'500);
        checker.onSent (sent);

        if (runs)
            checker.onArrival (arrivalOf (payment, one));
    };
    /** Ends the request with a status of the machine's own; 0: the connection ends without a response. */
    const auto end = [&] (milliseconds after, unsigned status)
    {
        ReceivedAnswer answer{ payment, status, "", "", "" };
        answer.at = signalled + after;
        checker.onAnswer (answer);
    };

    SECTION ("a running request whose connection ends is lost")
    {
        send (milliseconds (1'600), true);
        end (milliseconds (2'600), 0);
        checkOnly (checker, Promise::takenIsAnswered);
    }
    SECTION ("a running request that gets a failure of the machine's own is lost")
    {
        send (milliseconds (1'600), true);
        end (milliseconds (2'600), 502);
        checkOnly (checker, Promise::takenIsAnswered);
    }
    SECTION ("a request that was read long before its connection ends is lost")
    {
        send (milliseconds (1'600), false);
        end (milliseconds (1'900), 0);
        checkOnly (checker, Promise::takenIsAnswered);
    }
    SECTION ("an early request is lost if its server wasn't at work near the end of the grace time")
    {
        send (milliseconds (1'000), true);
        end (milliseconds (2'400), 0);
        checkOnly (checker, Promise::takenIsAnswered);
    }
    SECTION ("an early request may be lost if its server was still at work near the end")
    {
        send (milliseconds (1'400), true);
        end (milliseconds (2'600), 0);
        CHECK (checker.broken().empty());
    }
    SECTION ("a request that was never read may be lost")
    {
        send (milliseconds (1'600), false);
        end (milliseconds (1'700), 0);
        CHECK (checker.broken().empty());
    }
    SECTION ("a request whose time is up may be lost")
    {
        send (milliseconds (1'000), true);
        end (milliseconds (2'500), 504);
        CHECK (checker.broken().empty());
    }
    SECTION ("a refused request is not lost")
    {
        send (milliseconds (1'600), false);
        end (milliseconds (1'610), 503);
        CHECK (checker.broken().empty());
    }
    SECTION ("a request of another machine is not checked")
    {
        send (milliseconds (1'600), true, 2);
        end (milliseconds (2'600), 0);
        CHECK (checker.broken().empty());
    }
    SECTION ("a request after the stop is not checked")
    {
        send (milliseconds (4'000), true);
        end (milliseconds (4'100), 0);
        CHECK (checker.broken().empty());
    }
}
