#include "connection/connect_backoff.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::connection;

TEST_CASE ("single failures don't make a server unreachable", "[connection]")
{
    const TimePoint now (seconds (50));
    ConnectBackoff backoff;
    recordConnectFailure (backoff, now);
    recordConnectFailure (backoff, now);
    CHECK (acquireAttempt (backoff, now));
    recordConnected (backoff);
    recordConnectFailure (backoff, now);
    CHECK_FALSE (isUnreachable (backoff));
}

TEST_CASE ("an unreachable server gets single attempts until one succeeds", "[connection]")
{
    TimePoint now (seconds (50));
    ConnectBackoff backoff;

    for (unsigned n = 0; n < maxFailures; ++n)
        recordConnectFailure (backoff, now);

    CHECK (isUnreachable (backoff));
    CHECK_FALSE (acquireAttempt (backoff, now));
    now += attemptInterval;
    CHECK (acquireAttempt (backoff, now));
    CHECK_FALSE (acquireAttempt (backoff, now));
    recordConnected (backoff);
    CHECK (acquireAttempt (backoff, now));
    CHECK (acquireAttempt (backoff, now));
}
