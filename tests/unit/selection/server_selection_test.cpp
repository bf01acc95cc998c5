#include "selection/server_selection.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace anisehold;
using namespace anisehold::selection;
using membership::KnownServer;

namespace
{

constexpr double meanLatencyUs = 100'000;

KnownServer server (const std::string& instance, const std::string& zone, unsigned inFlight,
                    unsigned latencyUs = 100'000)
{
    KnownServer known;
    known.server.instance = instance;
    known.server.limit = 10;
    known.server.in_flight = inFlight;
    known.server.latency_us = latencyUs;
    known.zone = zone;
    return known;
}

std::vector<KnownServer> manyServers (std::size_t n, const std::string& zone, unsigned inFlight)
{
    std::vector<KnownServer> servers (n);

    for (std::size_t i = 0; i < n; ++i)
        servers[i] = server (zone + std::to_string (i), zone, inFlight);

    return servers;
}

struct Fixture
{
    std::mt19937 generator{ 11 };
    UnitRandom random = [this] { return std::uniform_real_distribution<double> (0.0, 1.0) (generator); };
    SelectionState state{ "here", {}, {} };
    TimePoint now{};

    const KnownServer* choose (const std::vector<KnownServer>& servers,
                               const std::vector<std::string>& tried = {}) const
    {
        return chooseServer (state, now, viewOf (servers), tried, random);
    }

    membership::ServiceView viewOf (const std::vector<KnownServer>& servers) const
    {
        membership::ServiceView view;

        for (const auto& it : servers)
            (it.zone == state.ownZone ? view.local : view.remote).push_back (&it);

        view.mean_latency_us = meanLatencyUs;
        view.preferred_local = std::min<std::size_t> (view.local.size(), 6);
        view.preferred_remote = std::min<std::size_t> (view.remote.size(), 3);
        return view;
    }

    double cost (const KnownServer& known) const { return expectedCost (state, now, known, meanLatencyUs); }
};

} // namespace

TEST_CASE ("a server that was tried is not chosen again", "[selection]")
{
    const Fixture fixture;
    const std::vector<KnownServer> servers{ server ("a", "here", 0), server ("b", "here", 9) };
    CHECK (fixture.choose (servers, { "a" })->server.instance == "b");
    CHECK_FALSE (fixture.choose (servers, { "a", "b" }));
    CHECK_FALSE (fixture.choose ({}));
}

TEST_CASE ("the less loaded of two servers is chosen", "[selection]")
{
    const Fixture fixture;
    const std::vector<KnownServer> servers{ server ("busy", "here", 9), server ("free", "here", 0) };

    for (int n = 0; n < 50; ++n)
        CHECK (fixture.choose (servers)->server.instance == "free");
}

TEST_CASE ("zone, latency, cold start and own requests in flight affect the cost", "[selection]")
{
    Fixture fixture;
    const auto plain = server ("a", "here", 1);
    CHECK (fixture.cost (plain) < fixture.cost (server ("b", "there", 1)));
    CHECK (fixture.cost (plain) < fixture.cost (server ("b", "here", 1, 200'000)));
    auto cold = server ("b", "here", 1);
    cold.server.cold_ms = 1'000;
    CHECK (fixture.cost (plain) < fixture.cost (cold));
    cold.last_seen = fixture.now - seconds (2);
    CHECK (fixture.cost (plain) == Approx (fixture.cost (cold)));
    const double before = fixture.cost (plain);

    for (int n = 0; n < 5; ++n)
        recordSent (fixture.state, "a");

    CHECK (fixture.cost (plain) > before);
}

TEST_CASE ("failures raise a server's cost and decay", "[selection]")
{
    Fixture fixture;
    const auto known = server ("a", "here", 0);
    const double before = fixture.cost (known);
    recordSent (fixture.state, "a");
    recordEnded (fixture.state, fixture.now, "a", true);
    CHECK (fixture.cost (known) > 5 * before);
    CHECK (expectedCost (fixture.state, fixture.now + seconds (60), known, meanLatencyUs) == Approx (before));
}

TEST_CASE ("a server that always fails is still chosen if it is the only one", "[selection]")
{
    Fixture fixture;
    recordEnded (fixture.state, fixture.now, "a", true);
    CHECK (fixture.choose ({ server ("a", "here", 0) }));
}

TEST_CASE ("failures reported by a server's gate raise its cost, unless their share is normal", "[selection]")
{
    const Fixture fixture;
    const auto healthy = server ("a", "here", 1);
    auto tolerated = server ("a", "here", 1);
    tolerated.server.failed_percent = 8;
    CHECK (fixture.cost (tolerated) == Approx (fixture.cost (healthy)));
    auto failing = server ("a", "here", 1);
    failing.server.failed_percent = 45;
    CHECK (fixture.cost (failing) > 5 * fixture.cost (healthy));
    // The failing server costs so much that one in another zone is preferred.
    CHECK (fixture.choose ({ failing, server ("b", "there", 1) })->server.instance == "b");
}

TEST_CASE ("the local zone is preferred until its servers are nearly full", "[selection]")
{
    const Fixture fixture;
    const auto remote = server ("far", "there", 3);
    CHECK (fixture.choose ({ server ("near", "here", 5), remote })->server.instance == "near");
    CHECK (fixture.choose ({ server ("near", "here", 9), remote })->server.instance == "far");
}

TEST_CASE (
    "an attempt abandoned after a long time without a response counts as a failure, an early one doesn't",
    "[selection]")
{
    const milliseconds slowThreshold (100);
    CHECK (countsAsFailure ({ true, true, milliseconds (2'000), slowThreshold }));
    CHECK_FALSE (countsAsFailure ({ true, true, milliseconds (40), slowThreshold }));
    CHECK (countsAsFailure ({ false, true, milliseconds (1), slowThreshold }));
    CHECK_FALSE (countsAsFailure ({ false, false, milliseconds (2'000), slowThreshold }));
}

TEST_CASE ("a server that fails fast doesn't appear cheap, nor an untried one expensive", "[selection]")
{
    Fixture fixture;
    auto fastFailing = server ("a", "here", 0, 5'000);
    fastFailing.server.failed_percent = 100;
    const auto slow = server ("b", "here", 3, 160'000);
    const auto untried = server ("c", "there", 0, 0);
    CHECK (fixture.choose ({ fastFailing, slow })->server.instance == "b");
    CHECK (fixture.choose ({ fastFailing, untried })->server.instance == "c");
}

TEST_CASE ("preferred servers are chosen while they have free slots", "[selection]")
{
    Fixture fixture;
    auto servers = manyServers (24, "here", 3);
    const auto others = manyServers (117, "there", 3);
    servers.insert (servers.end(), others.begin(), others.end());

    const auto countChosen = [&]
    {
        std::set<std::string> chosen;

        for (int n = 0; n < 2'000; ++n)
            chosen.insert (fixture.choose (servers)->server.instance);

        return chosen.size();
    };

    CHECK (countChosen() <= 6);

    for (int i = 0; i < 6; ++i)
        servers[static_cast<std::size_t> (i)].server.in_flight = 9;

    // The preferred servers are nearly full, so candidates come from the whole zone.
    CHECK (countChosen() >= 18);
}

TEST_CASE ("a failing preferred server is replaced by any server that doesn't fail", "[selection]")
{
    Fixture fixture;
    auto servers = manyServers (24, "here", 3);

    for (int i = 0; i < 6; ++i)
        servers[static_cast<std::size_t> (i)].server.failed_percent = 60;

    for (int n = 0; n < 200; ++n)
        CHECK (fixture.choose (servers)->server.failed_percent == 0);
}

TEST_CASE ("the local server is always a candidate", "[selection]")
{
    const Fixture fixture;
    auto servers = manyServers (24, "here", 5);

    servers.back().server.in_flight = 0;
    auto view = fixture.viewOf (servers);
    view.own = &servers.back();

    for (int n = 0; n < 100; ++n)
        CHECK (chooseServer (fixture.state, fixture.now, view, {}, fixture.random) == view.own);
}

TEST_CASE ("nothing is gained by avoiding a server if all servers decline alike", "[selection]")
{
    Fixture fixture;
    auto servers = manyServers (3, "here", 0);

    for (auto& it : servers)
        it.server.declined_percent = 55;

    const auto calm = fixture.cost (server ("calm", "here", 0));
    fixture.state.commonDeclined = lowestDeclinedShare (fixture.viewOf (servers));
    CHECK (fixture.cost (servers.front()) == Approx (calm));
}

TEST_CASE ("a server that declines while others don't is avoided", "[selection]")
{
    Fixture fixture;
    auto servers = manyServers (3, "here", 0);
    servers[0].server.declined_percent = 55;
    servers[1].server.declined_percent = 55;
    fixture.state.commonDeclined = lowestDeclinedShare (fixture.viewOf (servers));
    CHECK (fixture.state.commonDeclined == 0);
    CHECK (fixture.cost (servers[0]) > 5 * fixture.cost (servers[2]));
    CHECK (fixture.choose (servers) == &servers[2]);
}

TEST_CASE ("a declined request is offered again to the cheapest of the servers that declined it",
           "[selection]")
{
    Fixture fixture;
    auto servers = manyServers (3, "here", 0);
    servers[1].server.in_flight = 9;
    const auto view = fixture.viewOf (servers);
    CHECK (chooseAmong (fixture.state, fixture.now, view, { "here1", "here2" }) == &servers[2]);
    CHECK (chooseAmong (fixture.state, fixture.now, view, { "here1" }) == &servers[1]);
    CHECK (chooseAmong (fixture.state, fixture.now, view, { "gone" }) == nullptr);
}

TEST_CASE ("a server that works slowly now costs more, until its figure has faded", "[selection]")
{
    Fixture fixture;
    fixture.now = TimePoint{} + seconds (10);
    auto known = server ("a", "here", 1);
    known.last_seen = fixture.now - seconds (1);
    known.speed_seen = fixture.now;
    const double usual = fixture.cost (known);
    known.server.slow_percent = 250;
    CHECK (fixture.cost (known) == Approx (2.5 * usual));
    known.speed_seen = fixture.now - seconds (10);
    CHECK (fixture.cost (known) < 1.4 * usual);
    known.last_seen = known.speed_seen;
    CHECK (fixture.cost (known) == Approx (usual).epsilon (0.01));
    known.speed_seen = fixture.now;
    fixture.state.rules.usesPresentSpeed = false;
    CHECK (fixture.cost (known) == usual);
}
