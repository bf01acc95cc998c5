#include "overload/capacity_share.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <random>

using namespace anisehold::overload;

namespace
{

/** Share of what these ranks together ask for that they get, if they ask for anything. */
std::optional<double> shareOfPriorities (const std::vector<RowDemand>& demands,
                                         const std::vector<double>& shares, unsigned first, unsigned last)
{
    double demanded = 0;
    double granted = 0;

    for (std::size_t n = 0; n < demands.size(); ++n)
    {
        if (demands[n].priority < first || demands[n].priority > last)
            continue;

        demanded += demands[n].work;
        granted += demands[n].work * shares[n];
    }

    return demanded > 0 ? std::optional (granted / demanded) : std::nullopt;
}

} // namespace

TEST_CASE ("all demands are admitted if the capacity suffices", "[overload]")
{
    const auto shares = shareCapacity ({ { "a", 0, 10 }, { "b", 2, 20 }, { "c", 2, 0 } }, 30);
    CHECK (shares == std::vector<double>{ 1, 1, 1 });
}

TEST_CASE ("a priority that fits is served completely before the next, except for the minimum reserve",
           "[overload]")
{
    const auto shares = shareCapacity ({ { "vital", 0, 50 }, { "plain", 2, 50 } }, 60);
    CHECK (shares[0] == 1);
    CHECK (shares[1] == Approx (0.2));
    const auto tight = shareCapacity ({ { "vital", 0, 50 }, { "plain", 2, 50 } }, 50);
    CHECK (tight[0] == Approx (0.92));
    CHECK (tight[1] == Approx (0.08));
}

TEST_CASE ("the reserve for lower priorities grows with the shortfall, up to a quarter", "[overload]")
{
    const auto some = shareCapacity ({ { "vital", 0, 100 }, { "plain", 2, 100 } }, 80);
    CHECK (some[0] == Approx (0.64));
    CHECK (some[1] == Approx (0.16));
    const auto most = shareCapacity ({ { "vital", 0, 100 }, { "plain", 2, 100 } }, 20);
    CHECK (most[0] == Approx (0.15));
    CHECK (most[1] == Approx (0.05));
}

TEST_CASE ("lower priorities together get no greater share than the higher one", "[overload]")
{
    const auto shares = shareCapacity ({ { "vital", 0, 100 }, { "tiny", 2, 1 } }, 50);
    CHECK (shares[0] == Approx (50.0 / 101));
    CHECK (shares[1] == Approx (50.0 / 101));
}

TEST_CASE ("within a priority capacity is divided equally, so that small demands are met", "[overload]")
{
    const auto shares = shareCapacity ({ { "lookup", 2, 800 }, { "card", 2, 70 } }, 200);
    CHECK (shares[1] == 1);
    CHECK (shares[0] == Approx (130.0 / 800));
}

TEST_CASE ("shares are between 0 and 1, never exceed the capacity, and use all of it", "[overload]")
{
    std::mt19937 random (11);
    std::uniform_real_distribution<double> unit (0, 1);

    for (int n = 0; n < 2'000; ++n)
    {
        std::vector<RowDemand> demands (1 + random() % 6);
        double whole = 0;

        for (auto& it : demands)
        {
            it = { "row", static_cast<unsigned> (random() % 3),
                   unit (random) < 0.1 ? 0 : 100 * unit (random) };
            whole += it.work;
        }

        const double capacity = 1.2 * whole * unit (random);
        const auto shares = shareCapacity (demands, capacity);
        double granted = 0;

        for (std::size_t row = 0; row < demands.size(); ++row)
        {
            REQUIRE (shares[row] >= 0);
            REQUIRE (shares[row] <= 1);
            granted += shares[row] * demands[row].work;
        }

        REQUIRE (granted == Approx (std::min (capacity, whole)).margin (1e-6));

        for (unsigned rank = 0; rank < 2; ++rank)
        {
            const auto above = shareOfPriorities (demands, shares, rank, rank);
            const auto below = shareOfPriorities (demands, shares, rank + 1, 2);
            REQUIRE ((! above || ! below || *above >= *below - 1e-9));
        }
    }
}
