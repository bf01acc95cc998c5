#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "tenancy/quota_leases.hpp"

using namespace anisehold;
using namespace anisehold::tenancy;

namespace
{

constexpr milliseconds stepTime{ 10 };

/** Simulates a fleet in steps of 10 ms. Every daemon has a clock of its own offset and rate. */
struct SimulatedFleet
{
    struct Daemon
    {
        std::string name;
        std::unique_ptr<QuotaLeases> leases; /**< Null while the process isn't running. */
        std::uint64_t bootId = 0;
        Duration clockOffset{};
        double clockRate = 1.0;
        TimePoint nextUpdates;
        bool isPaused = false;
    };

    struct Datagram
    {
        Duration arrives{};
        std::size_t to = 0;
        LeaseUpdate update;
    };

    SimulatedFleet (std::size_t numDaemons, std::uint32_t seed)
        : random (seed)
    {
        for (std::size_t i = 0; i < numDaemons; ++i)
        {
            names.insert ("daemon-" + std::to_string (i));
            Daemon it;
            it.name = "daemon-" + std::to_string (i);
            it.clockOffset = seconds (1'000) + milliseconds (draw (100'000));
            it.clockRate = 0.98 + 0.04 * draw (1'000) / 1'000.0;
            daemons.push_back (std::move (it));
        }

        for (std::size_t i = 0; i < numDaemons; ++i)
            start (i);

        cutOff.assign (numDaemons, std::vector<bool> (numDaemons, false));
    }

    unsigned draw (unsigned below) { return std::uniform_int_distribution<unsigned> (0, below - 1) (random); }

    TimePoint clockOf (const Daemon& it) const
    {
        const std::chrono::duration<double, std::nano> elapsed = now * it.clockRate;
        return TimePoint (it.clockOffset + std::chrono::duration_cast<Duration> (elapsed));
    }

    void start (std::size_t index)
    {
        auto& it = daemons[index];
        it.bootId = ++numBoots;
        it.leases = std::make_unique<QuotaLeases> (it.name, it.bootId, clockOf (it));
        auto others = names;
        others.erase (it.name);
        it.leases->setMembers (others);
        it.nextUpdates = clockOf (it);
        it.isPaused = false;
    }

    void kill (std::size_t index)
    {
        daemons[index].leases.reset();
        std::erase_if (datagrams, [&] (const auto& datagram) { return datagram.to == index; });
    }

    void send (std::size_t from, const std::string& name)
    {
        auto& it = daemons[from];
        const auto to = static_cast<std::size_t> (std::stoul (name.substr (name.find ('-') + 1)));
        const auto update = it.leases->updateFor (clockOf (it), name);
        const bool isLost = cutOff[from][to] || draw (100) < lossPercent;

        if (! isLost && daemons[to].leases)
            datagrams.push_back ({ now + milliseconds (1 + draw (maxDelayMs)), to, tamper (update) });
    }

    void sendChanges (std::size_t index)
    {
        auto& it = daemons[index];

        for (const auto& name : it.leases->membersToUpdate (clockOf (it)))
            send (index, name);
    }

    void deliver()
    {
        const auto due = std::move (datagrams);
        datagrams.clear();

        for (const auto& datagram : due)
        {
            auto& it = daemons[datagram.to];

            if (! it.leases)
                continue;

            // A paused process finds the datagrams in its socket.
            if (it.isPaused || datagram.arrives > now)
            {
                datagrams.push_back (datagram);
                continue;
            }

            if (it.leases->receive (clockOf (it), datagram.update))
            {
                send (datagram.to, datagram.update.sender);
                sendChanges (datagram.to);
            }
        }
    }

    void step()
    {
        now += stepTime;
        deliver();

        for (std::size_t i = 0; i < daemons.size(); ++i)
        {
            auto& it = daemons[i];

            if (! it.leases || it.isPaused)
                continue;

            if (clockOf (it) >= it.nextUpdates)
            {
                it.nextUpdates = clockOf (it) + it.leases->times().period;

                for (const auto& name : it.leases->contacts (clockOf (it)))
                    send (i, name);
            }

            sendChanges (i);
        }

        for (QuotaGroup group = 0; group < numQuotaGroups; ++group)
            largestSum = std::max (largestSum, sumOfShares (group));
    }

    void run (Duration duration)
    {
        for (const auto ends = now + duration; now < ends;)
            step();
    }

    double shareAt (std::size_t index, QuotaGroup group)
    {
        auto& it = daemons[index];
        return it.leases && ! it.isPaused ? it.leases->shareOf (clockOf (it), group) : 0;
    }

    /** The part of the quota that all running daemons together may grant now. */
    double sumOfShares (QuotaGroup group)
    {
        double sum = 0;

        for (std::size_t i = 0; i < daemons.size(); ++i)
            sum += shareAt (i, group);

        return sum;
    }

    /** Cuts all links between the two sides, or only those from the first to the second. */
    void cut (const std::function<bool (std::size_t)>& isOnFirstSide, bool oneWay)
    {
        for (std::size_t from = 0; from < daemons.size(); ++from)
            for (std::size_t to = 0; to < daemons.size(); ++to)
                if (isOnFirstSide (from) != isOnFirstSide (to) && (! oneWay || isOnFirstSide (from)))
                    cutOff[from][to] = true;
    }

    void heal()
    {
        for (auto& row : cutOff)
            row.assign (row.size(), false);
    }

    /** Draws one fault and lets it last for a while. */
    void injectFault()
    {
        const auto victim = draw (static_cast<unsigned> (daemons.size()));
        auto& it = daemons[victim];

        switch (draw (7))
        {
            case 0:
                cut ([&] (std::size_t i) { return i == victim; }, false);
                break;
            case 1:
                cut ([&] (std::size_t i) { return i == victim; }, true);
                break;
            case 2:
                cut ([&] (std::size_t i) { return i != victim; }, true);
                break;
            case 3:
                cut ([&] (std::size_t i) { return i % 2 == victim % 2; }, draw (2) == 0);
                break;
            case 4:
                kill (victim);
                break;
            case 5:
                it.isPaused = true;
                break;
            default:
                heal();
        }

        run (milliseconds (20 + draw (draw (3) == 0 ? 3'000 : 400)));

        if (draw (2) == 0)
            heal();

        if (! it.leases && draw (3) > 0)
            start (victim);

        if (draw (4) > 0)
            it.isPaused = false;
    }

    void endAllFaults()
    {
        heal();
        lossPercent = 0;

        for (std::size_t i = 0; i < daemons.size(); ++i)
        {
            daemons[i].isPaused = false;

            if (! daemons[i].leases)
                start (i);
        }
    }

    std::mt19937 random;
    std::set<std::string> names;
    std::vector<Daemon> daemons;
    std::vector<std::vector<bool>> cutOff; /**< By sender and receiver. */
    std::vector<Datagram> datagrams;
    std::function<LeaseUpdate (LeaseUpdate)> tamper = [] (LeaseUpdate update) { return update; };
    Duration now{};
    std::uint64_t numBoots = 0;
    unsigned lossPercent = 0;
    unsigned maxDelayMs = 5;
    double largestSum = 0;
};

/** The group whose owners the tests look at. */
constexpr QuotaGroup blue = 3;
constexpr double rounding = 1e-9;

std::size_t ownerOfBlue (SimulatedFleet& fleet)
{
    for (std::size_t i = 0; i < fleet.daemons.size(); ++i)
        if (fleet.shareAt (i, blue) > 0)
            return i;

    FAIL ("no daemon has a share");
    return 0;
}

/** The number of drawn schedules; more are run by hand. */
unsigned numSchedules()
{
    const char* text = std::getenv ("ANISEHOLD_LEASE_SCHEDULES");
    return text == nullptr ? 300 : static_cast<unsigned> (std::atoi (text));
}

/** Plays one schedule of faults, and returns the largest sum of shares. */
double playSchedule (unsigned seed, const std::function<LeaseUpdate (LeaseUpdate)>& tamper)
{
    SimulatedFleet fleet (2 + seed % 5, seed);
    fleet.tamper = tamper;
    fleet.lossPercent = seed % 3 == 0 ? 10 : 0;
    fleet.maxDelayMs = seed % 4 == 0 ? 300 : 5;
    fleet.run (seconds (2));

    for (int i = 0; i < 8; ++i)
        fleet.injectFault();

    fleet.endAllFaults();
    fleet.maxDelayMs = 5;
    fleet.run (seconds (3));

    for (QuotaGroup group = 0; group < numQuotaGroups; ++group)
        CHECK (fleet.sumOfShares (group) == Approx (1.0));

    return fleet.largestSum;
}

} // namespace

TEST_CASE ("without faults each group of tenants has one owner, which has the whole quotas")
{
    SimulatedFleet fleet (5, 1);
    fleet.run (milliseconds (200));

    for (QuotaGroup group = 0; group < numQuotaGroups; ++group)
    {
        int owners = 0;

        for (std::size_t i = 0; i < fleet.daemons.size(); ++i)
            owners += fleet.shareAt (i, group) == Approx (1.0) ? 1 : 0;

        CHECK (owners == 1);
    }

    fleet.run (seconds (10));
    CHECK (fleet.sumOfShares (blue) == Approx (1.0));
    CHECK (fleet.largestSum <= 1.0 + rounding);
}

/** Guards against a daemon that is cut off and grants a tenant's whole rate beside the tenant's owner, which
    let 1,146 to 1,250 requests run where 900 were allowed. */
TEST_CASE ("in a network partition each side grants the shares of its members")
{
    SimulatedFleet fleet (3, 2);
    fleet.run (seconds (1));
    const auto single = ownerOfBlue (fleet);
    fleet.cut ([&] (std::size_t i) { return i == single; }, false);
    fleet.run (seconds (2));
    CHECK (fleet.shareAt (single, blue) == Approx (1.0 / 3));
    CHECK (fleet.sumOfShares (blue) == Approx (1.0));
    fleet.run (seconds (10));
    CHECK (fleet.shareAt (single, blue) == Approx (1.0 / 3));
    fleet.heal();
    fleet.run (seconds (1));
    CHECK (fleet.shareAt (single, blue) == Approx (1.0));
    CHECK (fleet.largestSum <= 1.0 + rounding);
}

/** Guards against a side that is heard but doesn't hear, or the other way round, and takes itself for the
    owner beside the other side. */
TEST_CASE ("a partition in one direction is one for both sides")
{
    const bool hearsNothing = GENERATE (false, true);
    SimulatedFleet fleet (3, 3);
    fleet.run (seconds (1));
    const auto single = ownerOfBlue (fleet);
    fleet.cut ([&] (std::size_t i) { return (i == single) != hearsNothing; }, true);
    fleet.run (seconds (3));
    CHECK (fleet.shareAt (single, blue) == Approx (1.0 / 3));
    CHECK (fleet.sumOfShares (blue) == Approx (1.0));
    CHECK (fleet.largestSum <= 1.0 + rounding);
}

TEST_CASE ("the next owner has the shares of the others when an owner is killed, and returns all")
{
    SimulatedFleet fleet (4, 4);
    fleet.run (seconds (1));
    const auto owner = ownerOfBlue (fleet);
    fleet.kill (owner);
    fleet.run (leaseTimes (4).lease + milliseconds (200));
    CHECK (fleet.sumOfShares (blue) == Approx (0.75));
    fleet.start (owner);
    fleet.run (milliseconds (500));
    CHECK (fleet.shareAt (owner, blue) == Approx (1.0));
    CHECK (fleet.largestSum <= 1.0 + rounding);
}

TEST_CASE ("an owner that was paused or suspended grants nothing on leases that have ended")
{
    SimulatedFleet fleet (3, 5);
    fleet.run (seconds (1));
    const auto owner = ownerOfBlue (fleet);
    fleet.daemons[owner].isPaused = true;
    fleet.run (seconds (2));
    fleet.daemons[owner].isPaused = false;
    CHECK (fleet.sumOfShares (blue) <= 1.0 + rounding);
    fleet.run (seconds (1));
    CHECK (fleet.shareAt (owner, blue) == Approx (1.0));
    CHECK (fleet.largestSum <= 1.0 + rounding);
}

TEST_CASE ("the whole quota is granted soon after a restart of all daemons at different times")
{
    SimulatedFleet fleet (6, 6);
    fleet.run (seconds (1));

    for (std::size_t i = 0; i < 6; ++i)
        fleet.kill (i);

    for (std::size_t i = 0; i < 6; ++i)
    {
        fleet.start (i);
        fleet.run (milliseconds (100));
    }

    fleet.run (milliseconds (200));
    CHECK (fleet.sumOfShares (blue) == Approx (1.0));
    CHECK (fleet.largestSum <= 1.0 + rounding);
}

/** Guards against a daemon that has just started, takes itself for the whole fleet, and grants a whole quota.
 */
TEST_CASE ("a daemon has no share before it knows the fleet")
{
    const auto now = TimePoint (seconds (1'000));
    QuotaLeases leases ("daemon-0", 1, now);
    CHECK (leases.shareOf (now, blue) == 0);
    leases.setMembers ({});
    CHECK (leases.shareOf (now, blue) == 1);
}

TEST_CASE ("a removed member changes the owner of its own groups only")
{
    const auto now = TimePoint (seconds (1'000));
    std::set<std::string> others;

    for (int i = 1; i < 71; ++i)
        others.insert ("daemon-" + std::to_string (i));

    QuotaLeases leases ("daemon-0", 1, now);
    leases.setMembers (others);
    std::vector<std::string> owners;

    for (QuotaGroup group = 0; group < numQuotaGroups; ++group)
        owners.push_back (leases.ownerOf (now, group));

    const auto removed =
        *std::find_if (owners.begin(), owners.end(), [] (const auto& name) { return name != "daemon-0"; });
    others.erase (removed);
    leases.setMembers (others);

    for (QuotaGroup group = 0; group < numQuotaGroups; ++group)
        CHECK ((leases.ownerOf (now, group) == owners[group]) == (owners[group] != removed));
}

TEST_CASE ("tenants are spread over all groups")
{
    std::set<QuotaGroup> groups;

    for (int i = 0; i < 80; ++i)
        groups.insert (groupOf (TenantName ("tenant-" + std::to_string (i))));

    CHECK (groups.size() == numQuotaGroups);
    CHECK (*groups.rbegin() < numQuotaGroups);
}

/** Guards against updates between all pairs of daemons, whose number grows with the square of the fleet. */
TEST_CASE ("in a large fleet most daemons send updates to the owners only")
{
    SimulatedFleet fleet (40, 9);
    fleet.run (seconds (3));
    std::size_t numContacts = 0;

    for (auto& it : fleet.daemons)
        numContacts += it.leases->contacts (fleet.clockOf (it)).size();

    CHECK (numContacts <= 2 * numQuotaGroups * fleet.daemons.size());
    CHECK (fleet.sumOfShares (blue) == Approx (1.0));
}

/** Guards against requests that are refused at a stopping daemon, because it takes itself for their tenant's
    owner. */
TEST_CASE ("a daemon that leaves is no owner, and requests tokens from another one")
{
    SimulatedFleet fleet (3, 8);
    fleet.run (seconds (1));
    const auto owner = ownerOfBlue (fleet);
    auto& leaving = fleet.daemons[owner];
    leaving.leases->leave();
    auto rest = fleet.names;
    rest.erase (leaving.name);

    for (auto& it : fleet.daemons)
    {
        auto others = rest;
        others.erase (it.name);

        if (it.name != leaving.name)
            it.leases->setMembers (others);
    }

    fleet.run (milliseconds (300));
    const auto next = ownerOfBlue (fleet);
    CHECK (next != owner);
    CHECK (fleet.shareAt (owner, blue) == 0);
    CHECK (fleet.shareAt (next, blue) == Approx (1.0));
    fleet.run (seconds (3));
    CHECK (leaving.leases->ownerOf (fleet.clockOf (leaving), blue) == fleet.daemons[next].name);
    CHECK (fleet.largestSum <= 1.0 + rounding);
}

TEST_CASE ("invalid updates change nothing")
{
    SimulatedFleet fleet (3, 7);
    fleet.run (seconds (1));
    auto& daemon = fleet.daemons[0];
    const auto now = fleet.clockOf (daemon);
    const double share = fleet.shareAt (0, blue);
    LeaseUpdate update{ "daemon-9", 99, 1, 500, daemon.bootId, 0, 500, 1U << blue };
    CHECK_FALSE (daemon.leases->receive (now, update));
    update.sender = "daemon-1";
    update.bootId = fleet.daemons[1].bootId;
    update.sentNs = -1;
    CHECK_FALSE (daemon.leases->receive (now, update));
    update.sentNs = INT64_MAX;
    update.receivedNs = INT64_MAX;
    CHECK_FALSE (daemon.leases->receive (now, update));
    CHECK (fleet.shareAt (0, blue) == share);
}

/** Cuts in both directions or one, that move and overlap, with kills, restarts, pauses, lost and late
   updates, and clocks of different rates. */
TEST_CASE ("the shares of all owners never exceed the quota, whatever faults come together")
{
    for (unsigned seed = 1; seed <= numSchedules(); ++seed)
    {
        INFO ("seed " << seed);
        REQUIRE (playSchedule (seed, [] (LeaseUpdate update) { return update; }) <= 1.0 + rounding);
    }
}

/** Shows that the test before can fail: members that don't wait for the end of a lease exceed the quota. */
TEST_CASE ("shares exceed the quota if members don't wait for the end of their leases")
{
    const auto endsAtOnce = [] (LeaseUpdate update)
    {
        update.leaseMs = 0;
        update.receivedLeaseMs = 500;
        return update;
    };
    int broken = 0;

    for (unsigned seed = 1; seed <= 50; ++seed)
        broken += playSchedule (seed, endsAtOnce) > 1.0 + rounding ? 1 : 0;

    CHECK (broken > 10);
}
