#include "connection/reach.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::connection;

TEST_CASE ("single failures change nothing", "[connection]")
{
    const TimePoint now (seconds (50));
    Reach reach;
    noteConnectFailed (reach, now);
    noteConnectFailed (reach, now);
    CHECK (takeTry (reach, now));
    noteConnected (reach);
    noteConnectFailed (reach, now);
    CHECK_FALSE (isUnreachable (reach));
}

TEST_CASE ("an unreachable server is tried now and then, until it answers", "[connection]")
{
    TimePoint now (seconds (50));
    Reach reach;

    for (unsigned n = 0; n < mostFailures; ++n)
        noteConnectFailed (reach, now);

    CHECK (isUnreachable (reach));
    CHECK_FALSE (takeTry (reach, now));
    now += tryPause;
    CHECK (takeTry (reach, now));
    CHECK_FALSE (takeTry (reach, now));
    noteConnected (reach);
    CHECK (takeTry (reach, now));
    CHECK (takeTry (reach, now));
}
