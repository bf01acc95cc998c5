/** Guards against a limit that serves rows out of the order of their priority and need, or that rejects a row
    completely. */
#include "overload/capacity_limit.hpp"

#include <catch2/catch.hpp>

#include "overload/root_limit.hpp"

using namespace anisehold;
using namespace anisehold::overload;

namespace
{

/** Demands of a recorded deployment, in ms of slot time of its last service: 100, 150 and 120 per ms. */
CapacityLimit pricing (double capacity)
{
    return { "slots",
             { { "quote", 0, 1'000, 30 }, { "check", 1, 2'000, 75 }, { "invoice", 1, 8'000, 15 } },
             capacity };
}

} // namespace

TEST_CASE ("a limit with enough capacity admits everything")
{
    for (const auto& [row, share] : sharesWithin (pricing (300'000)))
        CHECK (share == 1);

    CHECK (demandOf (pricing (0)) == 300'000);
}

TEST_CASE ("a limit serves priorities in order, then the rows that need least, and keeps a floor")
{
    // 170 remain for the demands of 150 and 120: floors of 15 and 12, then 108 and 35.
    const auto shares = sharesWithin (pricing (200'000));
    CHECK (shares.at ("quote") == 1);
    CHECK (shares.at ("invoice") == Approx (1));
    CHECK (shares.at ("check") == Approx (50.0 / 150));
}

TEST_CASE ("lower priorities get what the priorities above leave")
{
    const auto none = sharesWithin (pricing (15'000));
    CHECK (none.at ("quote") == Approx (0.5));
    CHECK (none.at ("check") == 0);
    CHECK (none.at ("invoice") == 0);
    const auto floors = sharesWithin (pricing (30'000 + 13'500));
    CHECK (floors.at ("quote") == 1);
    CHECK (floors.at ("check") == Approx (0.05));
    CHECK (floors.at ("invoice") == Approx (0.05));
}

TEST_CASE ("rows without demand are admitted, and no capacity rejects the others")
{
    const auto shares = sharesWithin ({ "slots", { { "idle", 3, 0, 10 }, { "busy", 0, 10, 10 } }, 0 });
    CHECK (shares.at ("idle") == 1);
    CHECK (shares.at ("busy") == 0);
    CHECK (sharesWithin ({ "slots", {}, 10 }).empty());
}

TEST_CASE ("a row is admitted by the lowest of a service's limits")
{
    RootLimitState state;
    const TimePoint now{ seconds (100) };
    recordOffered (state, now, { "check", 1 });
    CHECK (refusedShare (state, { "check", 1 }) == 0);
    setCapacityLimit (state, "pricing", { "slots", { { "check", 1, 100, 10 } }, 600 });
    CHECK (refusedShare (state, { "check", 1 }) == Approx (0.4));
    setCapacityLimit (state, "pricing", { "retries", { { "check", 1, 100, 2 } }, 50 });
    CHECK (refusedShare (state, { "check", 1 }) == Approx (0.75));
    CHECK (refusedShare (state, { "other", 1 }) == 0);
    setCapacityLimit (state, "stock", { "slots", { { "check", 1, 100, 2 } }, 20 });
    CHECK (refusedShare (state, { "check", 1 }) == Approx (0.9));
    clearCapacityLimit (state, "stock", "slots");
    clearCapacityLimit (state, "pricing", "retries");
    CHECK (refusedShare (state, { "check", 1 }) == Approx (0.4));
    clearCapacityLimit (state, "pricing", "slots");
    CHECK (refusedShare (state, { "check", 1 }) == 0);
}
