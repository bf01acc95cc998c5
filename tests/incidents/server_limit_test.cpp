/** A server that names a rate limit in its responses gets no more requests than that from all machines
    together. */
#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "tests/support/fleet.hpp"
#include "tests/support/request_load.hpp"
#include "tests/support/sidecar_fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr std::size_t numFront = 3;
constexpr std::size_t numBack = 4;
constexpr milliseconds gap{ 10 };
/** Time after the limit was first named from which on it must hold. */
constexpr milliseconds settlingTime{ 3'000 };
constexpr milliseconds window{ 4'000 };
/** Requests per window allowed in addition to one and a half times the limit. */
constexpr double slack = 5;

double maxAllowed (double limit)
{
    return 1.5 * limit * std::chrono::duration<double> (window).count() + slack;
}

std::vector<SidecarMachinePlan> machines()
{
    std::vector<SidecarMachinePlan> plans;

    for (std::size_t n = 0; n < numFront + numBack; ++n)
    {
        SidecarMachinePlan plan;
        plan.zone = n % 2 == 0 ? "z1" : "z2";
        plan.service = n < numFront ? "front" : "back";
        plan.slots = 16;
        plan.work = milliseconds (30);
        plans.push_back (plan);
    }

    return plans;
}

std::uint16_t nextBasePort()
{
    static std::uint16_t port = 31'700;
    return port = static_cast<std::uint16_t> (port + 100);
}

/** A fleet under a load of 100 requests per second. Records the arrivals at the servers of "back". */
struct LimitedFleet
{
    LimitedFleet()
        : fleet (nextBasePort(), machines()),
          load (fleet, "back", 7)
    {
        REQUIRE (fleet.start (configuration_text (1, { "front", "back" }, {})));

        for (std::size_t n = 0; n < numBack; ++n)
            back (n).observe ([n, seen = arrivals] (const lab::ServerArrival& /*it*/)
                              { (*seen)[n].push_back (TimePoint::clock::now()); });
    }

    lab::PlatformServer& back (std::size_t n) { return *fleet.machine (numFront + n).server; }
    static std::size_t machineOf (std::size_t n) { return numFront + n; }

    /** Sets the limit that the server names; an empty text ends the limit. */
    void setLimit (std::size_t n, const std::string& limit) { back (n).faults.rate_limit = limit; }

    std::size_t numArrived (std::size_t n, TimePoint since) const
    {
        const auto& all = (*arrivals)[n];
        return static_cast<std::size_t> (
            std::count_if (all.begin(), all.end(), [&] (TimePoint it) { return it >= since; }));
    }

    /** Maximum number of arrivals at the server in a window that begins at `since` or later. */
    std::size_t maxInWindow (std::size_t n, TimePoint since) const
    {
        const auto& all = (*arrivals)[n];
        std::size_t maxArrivals = 0;

        for (auto first = std::lower_bound (all.begin(), all.end(), since); first != all.end(); ++first)
        {
            const auto last = std::lower_bound (first, all.end(), *first + window);
            maxArrivals = std::max (maxArrivals, static_cast<std::size_t> (last - first));
        }

        return maxArrivals;
    }

    void checkLimit (std::size_t n, double limit, TimePoint named) const
    {
        const auto maxArrivals = maxInWindow (n, named + settlingTime);
        WARN ("server " << n << " with a limit of " << limit << ": at most " << maxArrivals
                        << " in 4 s, allowed " << maxAllowed (limit));
        CHECK (maxArrivals <= maxAllowed (limit));
    }

    SidecarFleet fleet;
    RequestLoad load;
    std::shared_ptr<std::vector<std::vector<TimePoint>>> arrivals =
        std::make_shared<std::vector<std::vector<TimePoint>>> (numBack);
};

} // namespace

TEST_CASE ("a server that names a limit gets no more, and the other servers serve the rest", "[limit]")
{
    const std::size_t numLimited = GENERATE (1U, 3U);
    CAPTURE (numLimited);
    LimitedFleet it;

    for (std::size_t n = 0; n < numLimited; ++n)
        it.setLimit (n, "5");

    const auto named = TimePoint::clock::now();
    it.load.run (milliseconds (9'000), gap);

    for (std::size_t n = 0; n < numLimited; ++n)
        it.checkLimit (n, 5, named);

    CHECK (it.load.served_share (named + settlingTime) >= 0.98);
}

TEST_CASE ("if all servers are limited, their capacity is used, and refused requests may be retried",
           "[limit]")
{
    LimitedFleet it;

    for (std::size_t n = 0; n < numBack; ++n)
        it.setLimit (n, "10");

    const auto named = TimePoint::clock::now();
    it.load.run (milliseconds (11'000), gap);
    std::size_t numServed = 0;

    for (std::size_t n = 0; n < numBack; ++n)
    {
        it.checkLimit (n, 10, named);
        numServed += it.numArrived (n, named + settlingTime);
    }

    const double serverCapacity = 10.0 * numBack * (11.0 - 3.0);
    WARN ("got " << static_cast<double> (numServed) / serverCapacity << " of the servers' capacity");
    CHECK (static_cast<double> (numServed) >= 0.75 * serverCapacity);

    for (const auto& request : it.load.requests())
    {
        const auto& answer = request->answer;

        if (answer.status == statusOk)
            continue;

        CHECK (answer.status == statusUnavailable);
        CHECK (std::stod (std::string (answer.fields.find ("Retry-After").value_or ("0"))) > 0);
    }
}

TEST_CASE ("a limit near zero holds, and its end is detected", "[limit]")
{
    const std::string limit = GENERATE ("0", "0.5");
    CAPTURE (limit);
    LimitedFleet it;
    it.setLimit (0, limit);
    const auto named = TimePoint::clock::now();
    it.load.start (gap);
    boost::this_fiber::sleep_for (milliseconds (8'000));
    it.checkLimit (0, std::stod (limit), named);
    it.setLimit (0, "");
    CHECK (it.fleet.eventually (seconds (8),
                                [&]
                                {
                                    const auto since = TimePoint::clock::now() - seconds (2);
                                    return static_cast<double> (it.numArrived (0, since)) > 10;
                                }));
    it.load.stop();
    CHECK (it.load.served_share (named + settlingTime) >= 0.98);
}

TEST_CASE ("a malformed limit doesn't change the limit in force", "[limit]")
{
    LimitedFleet it;
    const auto begin = TimePoint::clock::now();
    it.setLimit (0, "-3");
    it.load.start (gap);
    boost::this_fiber::sleep_for (milliseconds (2'000));
    CHECK (it.numArrived (0, begin) > 20);
    it.setLimit (0, "5");
    const auto named = TimePoint::clock::now();
    boost::this_fiber::sleep_for (milliseconds (1'000));
    it.setLimit (0, "1e999");
    boost::this_fiber::sleep_for (milliseconds (7'000));
    it.load.stop();
    it.checkLimit (0, 5, named);
    const auto log = it.fleet.log_of (LimitedFleet::machineOf (0));
    const auto loggedAt = log.find ("server-limit-malformed");
    REQUIRE (loggedAt != std::string::npos);
    CHECK (log.find ("server-limit-malformed", loggedAt + 1) == std::string::npos);
}

TEST_CASE ("refusals that don't name a limit don't end the limit in force", "[limit]")
{
    LimitedFleet it;
    it.setLimit (0, "5");
    it.back (0).faults.refusals_are_bare = true;
    const auto named = TimePoint::clock::now();
    it.load.start (gap);

    // Most responses are refusals, which may overtake the few others.
    for (int n = 0; n < 16; ++n)
    {
        it.back (0).faults.declines = n % 4 != 0;
        boost::this_fiber::sleep_for (milliseconds (500));
    }

    it.load.stop();
    it.checkLimit (0, 5, named);
}

TEST_CASE ("a limit survives restarts and a suspension of the server's daemon", "[limit-restarts]")
{
    LimitedFleet it;
    it.setLimit (0, "5");
    const auto named = TimePoint::clock::now();
    const auto machine = LimitedFleet::machineOf (0);
    it.load.start (gap);
    boost::this_fiber::sleep_for (milliseconds (4'000));

    SECTION ("restarts")
    {
        for (int n = 0; n < 3; ++n)
        {
            it.fleet.kill (machine);
            it.fleet.start_sidecar (machine);
            boost::this_fiber::sleep_for (milliseconds (2'000));
        }
    }
    SECTION ("freeze")
    {
        it.fleet.freeze (machine);
        boost::this_fiber::sleep_for (milliseconds (2'000));
        it.fleet.thaw (machine);
        boost::this_fiber::sleep_for (milliseconds (4'000));
    }

    it.load.stop();
    it.checkLimit (0, 5, named);
}

TEST_CASE ("a limit survives a kill of all daemons", "[limit-restarts]")
{
    LimitedFleet it;
    it.setLimit (0, "5");
    it.setLimit (1, "5");
    const auto named = TimePoint::clock::now();
    it.load.start (gap);
    boost::this_fiber::sleep_for (milliseconds (4'000));

    for (std::size_t n = 0; n < it.fleet.size(); ++n)
        it.fleet.kill (n);

    for (std::size_t n = 0; n < it.fleet.size(); ++n)
        it.fleet.start_sidecar (n);

    boost::this_fiber::sleep_for (milliseconds (6'000));
    it.load.stop();
    it.checkLimit (0, 5, named);
    it.checkLimit (1, 5, named);
}
