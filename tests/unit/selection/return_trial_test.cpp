#include "selection/return_trial.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::selection;
using membership::KnownServer;

namespace
{

KnownServer server (const std::string& instance)
{
    KnownServer known;
    known.server.instance = instance;
    return known;
}

} // namespace

TEST_CASE ("a server that failed is tried once, a set time after its failure", "[selection]")
{
    const auto failing = server ("failing");
    const auto sound = server ("sound");
    membership::ServiceView view;
    view.near = { &sound };
    view.far = { &failing };
    ReturnTrials trials;
    const TimePoint begin{};
    CHECK (takeTrial (trials, begin, view) == nullptr);

    noteTrialResult (trials, begin, "failing", true);
    CHECK (takeTrial (trials, begin + trialInterval - milliseconds (1), view) == nullptr);
    CHECK (takeTrial (trials, begin + trialInterval, view) == &failing);
    // Others wait for what the trial shows.
    CHECK (takeTrial (trials, begin + trialInterval, view) == nullptr);

    SECTION ("a success ends the trials")
    {
        noteTrialResult (trials, begin + trialInterval, "failing", false);
        CHECK (takeTrial (trials, begin + 10 * trialInterval, view) == nullptr);
    }

    SECTION ("a failure begins the time anew")
    {
        const auto failed = begin + trialInterval + milliseconds (500);
        noteTrialResult (trials, failed, "failing", true);
        CHECK (takeTrial (trials, failed + trialInterval - milliseconds (1), view) == nullptr);
        CHECK (takeTrial (trials, failed + trialInterval, view) == &failing);
    }

    SECTION ("a trial whose end isn't heard of is repeated")
    {
        CHECK (takeTrial (trials, begin + 2 * trialInterval, view) == &failing);
    }
}

TEST_CASE ("a server that can't be reached is tried as soon as it is known again, unless that takes long",
           "[selection]")
{
    const auto failing = server ("failing");
    const membership::ServiceView without;
    membership::ServiceView with;
    with.near = { &failing };
    ReturnTrials trials;
    const TimePoint begin{};
    noteTrialResult (trials, begin, "failing", true);
    CHECK (takeTrial (trials, begin + 2 * trialInterval, without) == nullptr);
    CHECK (takeTrial (trials, begin + 2 * trialInterval, with) == &failing);
    CHECK (takeTrial (trials, begin + 2 * trialInterval + 2 * trialForgotten, with) == nullptr);
    CHECK (trials.empty());
}
