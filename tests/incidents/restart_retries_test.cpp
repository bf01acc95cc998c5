/** What was seen: while servers declined half of their calls whatever their load, all daemons were killed and
    came back 0.7 s later. In a window of 10 s across the kill more calls were retried than the bound allows,
   by 1 to 5 %, in nine of nine plays; in none without the kill.

    Order of events: declines begin, and within a second the daemons spend on retries what the requests of the
    last 10 calm seconds allow them. They are killed. The new ones spend what their own requests allow from
    the first moment on, and within the same window of 10 s both count.

    Cause: a new process took its window for empty, when it is unknown.

    Evidence: the model below breaks the bound as the plays did, with nothing but budgets in it: no call of
    an open run and no retry of a level above is needed for it.
*/
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "retry/window_budget.hpp"

using namespace anisehold;
using namespace anisehold::retry;

namespace
{

/** Counts of the last three windows, by when they came. */
class SlidingCount
{
public:
    void add (TimePoint now) { times.push_back (now); }

    /** Those in the window that ended so long before `now`. */
    double inWindow (TimePoint now, Duration window, Duration before) const
    {
        const auto end = std::upper_bound (times.begin(), times.end(), now - before);
        const auto begin = std::upper_bound (times.begin(), times.end(), now - before - window);
        return static_cast<double> (end - begin);
    }

    void forget (TimePoint now, Duration window)
    {
        while (! times.empty() && now - times.front() > 3 * window)
            times.pop_front();
    }

private:
    std::deque<TimePoint> times;
};

/** A fleet whose requests are declined with some chance, each tried at three servers at most. */
struct BudgetFleet
{
    static constexpr std::size_t numDaemons = 13;
    static constexpr unsigned maxServers = 3;

    BudgetFleet (const WindowBudgetTerms& budgetTerms, unsigned seed)
        : terms (budgetTerms),
          random (seed)
    {
        for (std::size_t n = 0; n < numDaemons; ++n)
            fleet.push_back (std::make_unique<WindowBudget> (terms, now));
    }

    void kill (std::size_t daemon) { fleet[daemon] = std::make_unique<WindowBudget> (terms, now); }

    /** Plays so long with one request a millisecond. */
    void play (milliseconds time, double declined)
    {
        for (const auto end = now + time; now < end; now += milliseconds (1))
        {
            const auto daemon = random() % numDaemons;
            fleet[daemon]->on_request (now, "s");
            requests.add (now);

            for (unsigned tried = 1; tried < maxServers && draw() < declined; ++tried)
            {
                if (! fleet[daemon]->try_retry (now, "s", numDaemons, RetryReason::kNoAnswer))
                    break;

                retries.add (now);
            }

            watch();
        }
    }

    /** Keeps the largest share of the bound that was used; requests count in whichever has most of the
       window, the one before it, or the one half a window before. */
    void watch()
    {
        const auto in = [&] (Duration before) { return requests.inWindow (now, terms.window, before); };
        const double counted = std::max ({ in ({}), in (terms.window / 2), in (terms.window) });
        const double bound = terms.ratio * counted + terms.extra;
        mostUsed = std::max (mostUsed, retries.inWindow (now, terms.window, {}) / bound);
        requests.forget (now, terms.window);
        retries.forget (now, terms.window);
    }

    double draw() { return std::uniform_real_distribution<double> (0, 1) (random); }

    WindowBudgetTerms terms;
    std::mt19937 random;
    std::vector<std::unique_ptr<WindowBudget>> fleet;
    TimePoint now{ seconds (1'000) };
    SlidingCount requests;
    SlidingCount retries;
    double mostUsed = 0;
};

const WindowBudgetTerms recordedTerms{ 0.2, 49, milliseconds (10'000) };

} // namespace

TEST_CASE ("repeats stay within the bound when all daemons are killed half a window after declines began",
           "[repeats]")
{
    BudgetFleet fleet (recordedTerms, 1);
    fleet.play (seconds (20), 0);
    fleet.play (milliseconds (4'500), 0.55);

    for (std::size_t n = 0; n < BudgetFleet::numDaemons; ++n)
        fleet.kill (n);

    fleet.now += milliseconds (700);
    fleet.play (seconds (18), 0.55);
    INFO ("share of the bound that was used: " << fleet.mostUsed);
    CHECK (fleet.mostUsed <= 1);
    CHECK (fleet.mostUsed > 0.6);
}

TEST_CASE ("without a kill the budgets use most of the bound, and no more", "[repeats]")
{
    BudgetFleet fleet (recordedTerms, 1);
    fleet.play (seconds (20), 0);
    fleet.play (seconds (30), 0.55);
    CHECK (fleet.mostUsed <= 0.9);
    CHECK (fleet.mostUsed > 0.8);
}

TEST_CASE ("repeats stay within the bound whoever is killed, and when", "[repeats]")
{
    constexpr unsigned seeds = 30;

    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        BudgetFleet fleet (recordedTerms, seed);
        fleet.play (milliseconds (10'000 + fleet.random() % 10'000), 0);

        for (int kills = 0; kills < 4; ++kills)
        {
            fleet.play (milliseconds (200 + fleet.random() % 8'000), 0.3 + 0.6 * fleet.draw());
            const double share = fleet.draw() < 0.5 ? 1 : fleet.draw();

            for (std::size_t n = 0; n < BudgetFleet::numDaemons; ++n)
            {
                if (fleet.draw() < share)
                    fleet.kill (n);
            }
        }

        fleet.play (seconds (12), 0.55);
        INFO ("seed " << seed << ", share of the bound that was used: " << fleet.mostUsed);
        CHECK (fleet.mostUsed <= 1);
    }
}
