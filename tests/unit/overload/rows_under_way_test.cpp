#include "overload/rows_under_way.hpp"

#include <catch2/catch.hpp>

#include "overload/row_reach.hpp"

using namespace anisehold;
using namespace anisehold::overload;

namespace
{

const RootRow row{ "row", 1 };

/** Returns a daemon with a steady rate of 20 requests of the row per second, each of which takes 0.5 s. */
RootLimitState steadyDaemon()
{
    RootLimitState state;
    TimePoint now{};

    for (int n = 0; n < 2'000; ++n)
    {
        now += milliseconds (50);
        recordOffered (state, now, row);
    }

    recordRequestStarted (state, row.name);
    recordRequestEnded (state, row.name, milliseconds (500));
    return state;
}

} // namespace

TEST_CASE ("the rate of a row follows from its volume", "[overload]")
{
    CHECK (offeredPerSecond (steadyDaemon().rows[row.name]) == Approx (20).epsilon (0.02));
}

TEST_CASE ("the share rises with fewer requests in flight than expected and falls with more", "[overload]")
{
    auto state = steadyDaemon();
    const auto& volume = state.rows[row.name];
    // 0.4 of 20 requests per second at 0.5 s each: four in flight.
    const double share = 0.4;
    CHECK (correctedShare (volume, share) > 0.9);

    for (int n = 0; n < 4; ++n)
        recordRequestStarted (state, row.name);

    CHECK (correctedShare (volume, share) == Approx (share).margin (0.05));
    recordRequestStarted (state, row.name);
    CHECK (correctedShare (volume, share) == 0);
    recordRequestEnded (state, row.name, milliseconds (500));
    CHECK (correctedShare (volume, share) == Approx (share).margin (0.05));
}

TEST_CASE ("a share of 1 is unchanged, and any share until a request has ended", "[overload]")
{
    auto state = steadyDaemon();

    for (int n = 0; n < 100; ++n)
        recordRequestStarted (state, row.name);

    CHECK (correctedShare (state.rows[row.name], 1) == 1);

    RootLimitState fresh;
    recordOffered (fresh, TimePoint{}, row);
    recordRequestStarted (fresh, row.name);
    CHECK (correctedShare (fresh.rows[row.name], 0.3) == 0.3);
}

TEST_CASE ("ends without a recorded start are ignored", "[overload]")
{
    RootLimitState state;
    recordOffered (state, TimePoint{}, row);
    recordRequestEnded (state, row.name, milliseconds (10));
    CHECK (state.rows[row.name].inFlight == 0);
}
