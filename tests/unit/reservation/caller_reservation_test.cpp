/** Guards against requests that are sent before a slot was granted, are reported as not run after they were
    sent, or pay for a reservation that brings nothing. */

#include <catch2/catch.hpp>

#include "reservation/caller_reservation.hpp"
#include "reservation/grant_table.hpp"

using namespace anisehold;
using namespace anisehold::reservation;

namespace
{

const TimePoint start{ seconds (100) };

RequestFacts idleServer()
{
    RequestFacts facts;
    facts.limit = 64;
    return facts;
}

} // namespace

TEST_CASE ("a request that may run twice is sent directly to a server with free slots")
{
    auto facts = idleServer();
    CHECK_FALSE (needsReservation (facts));
    facts.inFlight = 59;
    CHECK_FALSE (needsReservation (facts));
}

TEST_CASE ("a request that would queue reserves a slot")
{
    auto facts = idleServer();
    facts.inFlight = 60;
    CHECK (needsReservation (facts));
    facts.inFlight = 10;
    facts.queued = 1;
    CHECK (needsReservation (facts));
}

TEST_CASE ("a request that must not run twice reserves a slot at any load")
{
    auto facts = idleServer();
    facts.mustNotRunTwice = true;
    CHECK (needsReservation (facts));
}

TEST_CASE ("the local gate and the queue of suspects need no reservation")
{
    auto facts = idleServer();
    facts.mustNotRunTwice = true;
    facts.queued = 5;
    facts.isLocal = true;
    CHECK_FALSE (needsReservation (facts));
    facts.isLocal = false;
    facts.isSuspect = true;
    CHECK_FALSE (needsReservation (facts));
}

TEST_CASE ("a request may have run only after its commit, until the gate has stated the outcome")
{
    auto state = beginReservation (start, milliseconds (200));
    CHECK_FALSE (mayHaveRun (state));
    onWaiting (state, start + milliseconds (40), 7);
    CHECK (state.phase == CallerPhase::reserving);
    CHECK (state.ticket == 7);
    onGranted (state, start + milliseconds (60), 7, grantValidity);
    CHECK_FALSE (mayHaveRun (state));
    REQUIRE (tryCommit (state, start + milliseconds (61)));
    CHECK (mayHaveRun (state));
    onSettled (state);
    CHECK_FALSE (mayHaveRun (state));
}

TEST_CASE ("a request is not sent with a grant that has ended during a pause of the caller")
{
    auto state = beginReservation (start, milliseconds (200));
    onGranted (state, start, 7, grantValidity);
    CHECK_FALSE (tryCommit (state, start + grantValidity));
    CHECK (state.phase == CallerPhase::refused);
    CHECK_FALSE (mayHaveRun (state));
}

TEST_CASE ("a request without a grant is not sent, and a grant is committed once")
{
    auto state = beginReservation (start, milliseconds (200));
    CHECK_FALSE (tryCommit (state, start));
    onGranted (state, start, 7, grantValidity);
    CHECK (tryCommit (state, start));
    CHECK_FALSE (tryCommit (state, start));
}

TEST_CASE ("a reservation is not renewed after the end of its wait")
{
    auto state = beginReservation (start, milliseconds (50));
    onWaiting (state, start + milliseconds (40), 7);
    CHECK (state.phase == CallerPhase::reserving);
    onWaiting (state, start + milliseconds (50), 7);
    CHECK (state.phase == CallerPhase::refused);
    CHECK_FALSE (state.gateWasSilent);
}

TEST_CASE ("a silent gate is recognized after 100 ms, later than any reply of a working one")
{
    auto state = beginReservation (start, milliseconds (500));
    CHECK (replyDeadline (start) == start + milliseconds (100));
    CHECK (maxReplyDelay + milliseconds (50) < silenceTimeout);
    onSilence (state);
    CHECK (state.gateWasSilent);
    CHECK_FALSE (mayHaveRun (state));
}
