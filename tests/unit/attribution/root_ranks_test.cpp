#include "attribution/root_ranks.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::attribution;

namespace
{

const TimePoint start = TimePoint (std::chrono::hours (1));

/** Returns ranks learned from this many calls of "price/0" for each rank. */
RootRanks ranksOf (const std::map<unsigned, int>& calls)
{
    RootRanks ranks;

    for (const auto& [rank, count] : calls)
    {
        for (int n = 0; n < count; ++n)
            recordKnownRoot (ranks, start, "price/0", rank);
    }

    return ranks;
}

} // namespace

TEST_CASE ("without known roots a call keeps its own rank", "[attribution]")
{
    // An unknown parent must change nothing.
    CHECK (rankOfUnknownRoot ({}, start, "price/0", 5) == 5);
    CHECK (rankOfUnknownRoot (ranksOf ({ { 17, 20 } }), start, "other/0", 5) == 5);
    CHECK (rankOfUnknownRoot (ranksOf ({ { 17, 20 } }), start + seconds (60), "price/0", 5) == 5);
}

TEST_CASE ("a call of unknown root is ordered with the more important roots of its row", "[attribution]")
{
    // Guards against the starvation of unknown calls by known ones, and against unknown calls that overtake
    // all clients because they carry no tenant.
    CHECK (rankOfUnknownRoot (ranksOf ({ { 17, 60 }, { 18, 40 } }), start, "price/0", 0) == 17);
    CHECK (rankOfUnknownRoot (ranksOf ({ { 17, 25 }, { 18, 75 } }), start, "price/0", 0) == 17);
    CHECK (rankOfUnknownRoot (ranksOf ({ { 1, 5 }, { 18, 95 } }), start, "price/0", 0) == 18);
    CHECK (rankOfUnknownRoot (ranksOf ({ { 1, 5 }, { 2, 5 }, { 3, 15 }, { 18, 75 } }), start, "price/0", 0) ==
           3);
}

TEST_CASE ("the number of rows and ranks is bounded", "[attribution]")
{
    RootRanks ranks;

    for (std::size_t n = 0; n < 2 * maxRows; ++n)
    {
        recordKnownRoot (ranks, start, std::to_string (n), 1);
        recordKnownRoot (ranks, start, "0", static_cast<unsigned> (n));
    }

    CHECK (ranks.rows.size() == maxRows);
    CHECK (ranks.rows.at ("0").counts.size() == maxRanks);
    // Rows without recent calls make room.
    recordKnownRoot (ranks, start + seconds (60), "new", 1);
    CHECK (ranks.rows.size() == 1);
}
