#include "attribution/known_share.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::attribution;

TEST_CASE ("the verdict on known parents changes once per change of the share", "[attribution]")
{
    // Guards against one log line per call while the share is near one half.
    KnownShare state;
    TimePoint now = TimePoint (std::chrono::hours (1));
    const auto changesOf = [&] (int calls, int knownOfTen)
    {
        int changes = 0;

        for (int n = 0; n < calls; ++n)
        {
            now += milliseconds (20);
            changes += recordCall (state, now, n % 10 < knownOfTen) ? 1 : 0;
        }

        return changes;
    };
    CHECK (changesOf (40, 9) == 0);
    CHECK (changesOf (5'000, 9) == 1);
    CHECK (state.areMostKnown == true);
    CHECK (changesOf (5'000, 5) == 0);
    CHECK (changesOf (5'000, 1) == 1);
    CHECK (state.areMostKnown == false);
    CHECK (changesOf (5'000, 5) == 0);
}
