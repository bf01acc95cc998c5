#include "discovery/watch_role.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace anisehold;
using namespace anisehold::discovery;

namespace
{

const TimePoint start = TimePoint() + seconds (100);

double half()
{
    return 0.5;
}

std::vector<std::string> members (std::size_t n)
{
    std::vector<std::string> names;

    for (std::size_t i = 0; i < n; ++i)
        names.push_back ("daemon-" + std::to_string (i));

    return names;
}

std::vector<std::string> without (std::vector<std::string> names, const std::string& name)
{
    std::erase (names, name);
    return names;
}

std::set<std::string> appointedOf (const std::vector<std::string>& names)
{
    std::set<std::string> appointed;

    for (const auto& it : names)
        if (isAppointed (it, without (names, it)))
            appointed.insert (it);

    return appointed;
}

/** Returns the view of a daemon that is no watcher, in a zone of 50 in a fleet of 300. */
WatchView ordinaryView()
{
    const auto names = members (50);
    const auto appointed = appointedOf (names);
    WatchView view;

    for (const auto& it : names)
        if (! appointed.contains (it))
            view.ownName = it;

    view.zonePeers = without (names, view.ownName);
    view.knownPeers = 300;
    return view;
}

} // namespace

TEST_CASE ("a zone appoints two watchers, whatever its size")
{
    for (const std::size_t n : { 2U, 3U, 50U, 400U })
        CHECK (appointedOf (members (n)).size() == watchersPerZone);

    CHECK (appointedOf (members (1)).size() == 1);
}

TEST_CASE ("a member that joins or leaves moves at most its own appointment")
{
    auto names = members (50);
    const auto before = appointedOf (names);
    const auto lost = *before.begin();
    const auto after = appointedOf (without (names, lost));
    CHECK (after.size() == watchersPerZone);
    CHECK (after.contains (*before.rbegin()));
    CHECK_FALSE (after.contains (lost));

    names = without (names, "daemon-7");
    if (! before.contains ("daemon-7"))
        CHECK (appointedOf (names) == before);
}

TEST_CASE ("both sides of a partition have watchers")
{
    const auto names = members (50);
    const std::vector<std::string> left (names.begin(), names.begin() + 10);
    const std::vector<std::string> right (names.begin() + 10, names.end());
    CHECK (appointedOf (left).size() == watchersPerZone);
    CHECK (appointedOf (right).size() == watchersPerZone);
}

TEST_CASE ("a daemon that knows of a working watch doesn't call the store")
{
    WatchState state;
    auto view = ordinaryView();
    view.hasPeerWatch = true;

    for (int i = 0; i < 60; ++i)
        CHECK (updateRole (state, start + seconds (i), view, half) == WatchRole::none);
}

TEST_CASE ("without a working watch a daemon stands in after its own delay")
{
    WatchState state;
    const auto view = ordinaryView();
    CHECK (updateRole (state, start, view, half) == WatchRole::none);
    CHECK (updateRole (state, start + milliseconds (6'900), view, half) == WatchRole::none);
    CHECK (updateRole (state, start + milliseconds (7'100), view, half) == WatchRole::standIn);
    // The stand-in keeps its role while no peer has a working watch.
    CHECK (updateRole (state, start + seconds (20), view, half) == WatchRole::standIn);

    auto relieved = view;
    relieved.hasPeerWatch = true;
    CHECK (updateRole (state, start + seconds (21), relieved, half) == WatchRole::none);
}

TEST_CASE ("a stand-in that the store refuses waits for a new delay")
{
    WatchState state;
    const auto view = ordinaryView();
    updateRole (state, start, view, half);
    REQUIRE (updateRole (state, start + seconds (8), view, half) == WatchRole::standIn);
    recordFailedAttempt (state, start + seconds (8));
    CHECK (updateRole (state, start + seconds (8), view, half) == WatchRole::none);
    CHECK (updateRole (state, start + seconds (12), view, half) == WatchRole::none);
    CHECK (updateRole (state, start + seconds (16), view, half) == WatchRole::standIn);
}

TEST_CASE ("a fleet without watchers finds a stand-in soon, with few simultaneous attempts")
{
    for (const std::size_t n : { 14U, 300U, 2'400U })
    {
        std::size_t trying = 0;
        TimePoint first = TimePoint::max();

        for (std::size_t i = 0; i < n; ++i)
        {
            WatchState state;
            auto view = ordinaryView();
            view.knownPeers = n;
            const double drawn = static_cast<double> (i) / static_cast<double> (n);
            auto now = start;

            while (updateRole (state, now, view, [drawn] { return drawn; }) != WatchRole::standIn)
                now += milliseconds (10);

            first = std::min (first, now);
            trying += now <= start + milliseconds (3'000) ? 1 : 0;
        }

        CHECK (first <= start + milliseconds (2'100));
        CHECK (trying <= std::max<std::size_t> (26, n / 8));
    }
}
