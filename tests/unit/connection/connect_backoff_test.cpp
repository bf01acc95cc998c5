#include "connection/connect_backoff.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::connection;

TEST_CASE ("single failures change nothing", "[connection]")
{
    const TimePoint now (seconds (50));
    ConnectBackoff backoff;
    noteConnectFailed (backoff, now);
    noteConnectFailed (backoff, now);
    CHECK (takeAttempt (backoff, now));
    noteConnected (backoff);
    noteConnectFailed (backoff, now);
    CHECK_FALSE (isUnreachable (backoff));
}

TEST_CASE ("an unreachable server is tried now and then, until it answers", "[connection]")
{
    TimePoint now (seconds (50));
    ConnectBackoff backoff;

    for (unsigned n = 0; n < mostFailures; ++n)
        noteConnectFailed (backoff, now);

    CHECK (isUnreachable (backoff));
    CHECK_FALSE (takeAttempt (backoff, now));
    now += attemptInterval;
    CHECK (takeAttempt (backoff, now));
    CHECK_FALSE (takeAttempt (backoff, now));
    noteConnected (backoff);
    CHECK (takeAttempt (backoff, now));
    CHECK (takeAttempt (backoff, now));
}
