#include "connection/idle_limit.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::connection;

TEST_CASE ("without losses the idle time is unlimited", "[connection]")
{
    CHECK (currentMaxIdle ({}, TimePoint (seconds (50))) == Duration::max());
}

TEST_CASE ("a lost connection limits the idle time, and a second one can only lower the limit",
           "[connection]")
{
    const TimePoint now (seconds (50));
    IdleLimit limit;
    recordLostConnection (limit, now, milliseconds (400));
    CHECK (currentMaxIdle (limit, now) == milliseconds (100));
    recordLostConnection (limit, now, milliseconds (4'000));
    CHECK (currentMaxIdle (limit, now) == milliseconds (100));
    recordLostConnection (limit, now, milliseconds (1));
    CHECK (currentMaxIdle (limit, now) == minIdle);
}

TEST_CASE ("the limit grows again, and ends after some time", "[connection]")
{
    const TimePoint now (seconds (50));
    IdleLimit limit;
    recordLostConnection (limit, now, milliseconds (400));
    CHECK (currentMaxIdle (limit, now + seconds (5)) == milliseconds (200));
    CHECK (currentMaxIdle (limit, now + seconds (11)) == milliseconds (400));
    CHECK (currentMaxIdle (limit, now + seconds (40)) == Duration::max());
}
