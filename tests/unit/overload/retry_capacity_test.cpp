#include "overload/retry_capacity.hpp"

#include <catch2/catch.hpp>

#include "overload/pressure_report.hpp"
#include "overload/root_limit.hpp"
#include "overload/row_reach.hpp"

using namespace anisehold;
using namespace anisehold::overload;

namespace
{

constexpr const char* service = "pricing";
constexpr double latencyUs = 20'000;

/** A daemon with requests of three rows, which make one, four and eight calls. */
struct Edge
{
    Edge() { setOwnRowWork (state, service, { { "quote", 20 }, { "check", 80 }, { "booking", 160 } }); }

    void run (Duration time)
    {
        for (const auto end = now + time; now < end; now += milliseconds (1))
        {
            offer ({ "quote", 0 }, 4);
            offer ({ "check", 1 }, 2);
            offer ({ "booking", 2 }, 3);
            offer ({ "invoice", 1 }, 5);
        }
    }

    /** Offers a request every `pauseMs`. */
    void offer (const RootRow& row, int pauseMs)
    {
        if (to_milliseconds (now.time_since_epoch()) % pauseMs != 0)
            return;

        recordOffered (state, now, row);
        updateRetryShares (state, now);

        if (refusedShare (state, row) < 0.5)
            recordAdmittedRoot (state, now, row.name);
    }

    void decline (double share, Duration ago = Duration::zero())
    {
        for (const auto* instance : { "s1", "s2" })
            recordServerDecline (state, service, instance, { share, latencyUs, now - ago });

        state.retryCapacity.updated = TimePoint{};
        updateRetryShares (state, now);
    }

    double share (const std::string& row) const { return retryLimitedShare (state, row); }

    RootLimitState state;
    TimePoint now{ seconds (1'000) };
};

} // namespace

TEST_CASE ("rows are admitted by priority as far as the retries carry them")
{
    Edge edge;
    edge.run (seconds (20));
    edge.decline (0.55);
    // 250 + 2,000 + 2,667 calls a second earn 836 retries; the quotes need 306 and the checks 2,444.
    CHECK (edge.share ("quote") == 1);
    CHECK (edge.share ("check") > 0.1);
    CHECK (edge.share ("check") < 0.3);
    CHECK (edge.share ("booking") < edge.share ("check"));
    CHECK (edge.share ("invoice") == 1);
    CHECK (refusedShare (edge.state, { "booking", 2 }) > 0.8);
}

TEST_CASE ("the limit stays while first arrivals fall because requests are refused")
{
    Edge edge;
    edge.run (seconds (20));
    edge.decline (0.55);
    const double before = edge.share ("check");

    for (int period = 0; period < 20; ++period)
    {
        edge.decline (0.55);
        edge.run (milliseconds (400));
    }

    CHECK (edge.share ("check") >= 0.8 * before);
}

TEST_CASE ("a declined share of a tenth limits nothing")
{
    Edge edge;
    edge.run (seconds (20));
    edge.decline (0.09);
    CHECK (edge.share ("booking") == 1);
}

TEST_CASE ("a row that first attempts alone complete often is not limited")
{
    Edge edge;
    edge.state.retryCapacity.terms.ratio = 0;
    edge.run (seconds (20));
    edge.decline (0.55);
    CHECK (edge.share ("quote") == 1);
    CHECK (edge.share ("booking") == 0);
}

TEST_CASE ("the limit ends at once when the servers no longer decline")
{
    Edge edge;
    edge.run (seconds (20));
    edge.decline (0.55);
    CHECK (edge.share ("booking") < 1);
    edge.decline (0);
    CHECK (edge.share ("booking") == 1);
}

TEST_CASE ("without reports the limit ends within 2 s")
{
    Edge edge;
    edge.run (seconds (20));
    edge.decline (0.55, milliseconds (900));
    CHECK (edge.share ("booking") < 1);
    CHECK (declinedShare (edge.state, edge.now, service) == Approx (0.55));
    edge.decline (0.55, milliseconds (2'000));
    CHECK (edge.share ("booking") == 1);
    CHECK (declinedShare (edge.state, edge.now, service) == 0);
}

TEST_CASE ("a daemon that has just started limits by its rate of requests, not by their number")
{
    Edge edge;
    edge.run (seconds (2));
    edge.decline (0.55);
    CHECK (edge.share ("check") > 0.1);
}

TEST_CASE ("work is reported while a service declines, so that all edges learn it")
{
    Edge edge;
    CHECK (ownReport (edge.state).empty());
    CHECK_FALSE (isUnderPressure (edge.state));
    edge.decline (0.55);
    REQUIRE (ownReport (edge.state).size() == 1);
    CHECK (ownReport (edge.state).front().works.size() == 3);
    CHECK (isUnderPressure (edge.state));
}

TEST_CASE ("the begin and the end of a limit are told once")
{
    Edge edge;
    edge.run (seconds (20));
    edge.decline (0.55);
    const auto begun = takeRetryLimitChanges (edge.state, edge.now);
    REQUIRE (begun.size() == 1);
    CHECK (begun.front().declined == Approx (0.55));
    CHECK (begun.front().retriesPerS > 700);
    CHECK (takeRetryLimitChanges (edge.state, edge.now).empty());
    edge.decline (0);
    CHECK (takeRetryLimitChanges (edge.state, edge.now).size() == 1);
    CHECK_FALSE (isDeclining (edge.state, service));
    CHECK (takeRetryLimitChanges (edge.state, edge.now).empty());
}
