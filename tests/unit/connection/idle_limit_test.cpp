#include "connection/idle_limit.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::connection;

TEST_CASE ("without losses connections may rest as long as they like", "[connection]")
{
    CHECK (longestIdle ({}, TimePoint (seconds (50))) == Duration::max());
}

TEST_CASE ("a lost connection bounds the rest, and a second one only further", "[connection]")
{
    const TimePoint now (seconds (50));
    IdleLimit limit;
    noteLost (limit, now, milliseconds (400));
    CHECK (longestIdle (limit, now) == milliseconds (100));
    noteLost (limit, now, milliseconds (4'000));
    CHECK (longestIdle (limit, now) == milliseconds (100));
    noteLost (limit, now, milliseconds (1));
    CHECK (longestIdle (limit, now) == leastIdle);
}

TEST_CASE ("the limit grows back, and is gone after a while", "[connection]")
{
    const TimePoint now (seconds (50));
    IdleLimit limit;
    noteLost (limit, now, milliseconds (400));
    CHECK (longestIdle (limit, now + seconds (5)) == milliseconds (200));
    CHECK (longestIdle (limit, now + seconds (11)) == milliseconds (400));
    CHECK (longestIdle (limit, now + seconds (40)) == Duration::max());
}
