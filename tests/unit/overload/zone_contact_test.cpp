#include "overload/zone_contact.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace anisehold;
using namespace anisehold::overload;

namespace
{

constexpr milliseconds period{ 2'500 };

/** The daemons of a zone send with independent phases, each a little irregularly. */
struct Zone
{
    std::mt19937 random{ 7 };
    std::map<std::string, TimePoint> next;
    TimePoint now{ seconds (100) };
    ZoneContacts contacts;

    explicit Zone (int daemons)
    {
        for (int n = 0; n < daemons; ++n)
            next["d" + std::to_string (n)] = now + draw (0, 2'500);
    }

    milliseconds draw (int from, int to)
    {
        return milliseconds (std::uniform_int_distribution<int> (from, to) (random));
    }

    /** Advances by 100 ms; the zone is heard unless it is cut off. Returns whether it counts as silent. */
    bool step (bool isCut)
    {
        now += milliseconds (100);

        for (auto& [daemon, time] : next)
        {
            if (time > now)
                continue;

            time += draw (2'250, 2'750);

            if (! isCut)
                recordHeard (contacts, now, "far", daemon);
        }

        return silentZones (contacts, now, period).contains ("far");
    }
};

} // namespace

TEST_CASE ("the silence of a zone of 23 daemons is noticed within a second, and not by chance")
{
    Zone zone (23);
    int silent = 0;

    for (int n = 0; n < 6'000; ++n)
        silent += zone.step (false) ? 1 : 0;

    CHECK (silent == 0);

    for (int n = 0; n < 9; ++n)
        zone.step (true);

    CHECK (zone.step (true));
    CHECK (zone.step (true));
    // Heard again.
    bool isSilent = true;

    for (int n = 0; n < 10; ++n)
        isSilent = zone.step (false);

    CHECK_FALSE (isSilent);
}

TEST_CASE ("a zone of one daemon isn't silent before the daemon itself is")
{
    Zone zone (1);

    for (int n = 0; n < 100; ++n)
        zone.step (false);

    for (int n = 0; n < 87; ++n)
        CHECK_FALSE (zone.step (true));
}

TEST_CASE ("daemons that left earlier don't shorten the silence of their zone")
{
    Zone zone (23);

    for (int n = 0; n < 100; ++n)
        zone.step (false);

    while (zone.next.size() > 2)
        zone.next.erase (zone.next.begin());

    int silent = 0;

    for (int n = 0; n < 3'000; ++n)
        silent += zone.step (false) && n > 100 ? 1 : 0;

    CHECK (silent == 0);
}
