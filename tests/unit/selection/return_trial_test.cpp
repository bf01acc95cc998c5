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
    view.local = { &sound };
    view.remote = { &failing };
    ReturnTrials trials;
    const TimePoint begin{};
    CHECK (startDueTrial (trials, begin, view) == nullptr);

    recordTrialResult (trials, begin, "failing", true);
    CHECK (startDueTrial (trials, begin + trialInterval - milliseconds (1), view) == nullptr);
    CHECK (startDueTrial (trials, begin + trialInterval, view) == &failing);
    // Others wait for what the trial shows.
    CHECK (startDueTrial (trials, begin + trialInterval, view) == nullptr);

    SECTION ("a success ends the trials")
    {
        recordTrialResult (trials, begin + trialInterval, "failing", false);
        CHECK (startDueTrial (trials, begin + 10 * trialInterval, view) == nullptr);
    }

    SECTION ("a failure begins the time anew")
    {
        const auto failed = begin + trialInterval + milliseconds (500);
        recordTrialResult (trials, failed, "failing", true);
        CHECK (startDueTrial (trials, failed + trialInterval - milliseconds (1), view) == nullptr);
        CHECK (startDueTrial (trials, failed + trialInterval, view) == &failing);
    }

    SECTION ("a trial whose end isn't heard of is repeated")
    {
        CHECK (startDueTrial (trials, begin + 2 * trialInterval, view) == &failing);
    }
}

TEST_CASE ("a server that can't be reached is tried as soon as it is known again, unless that takes long",
           "[selection]")
{
    const auto failing = server ("failing");
    const membership::ServiceView without;
    membership::ServiceView with;
    with.local = { &failing };
    ReturnTrials trials;
    const TimePoint begin{};
    recordTrialResult (trials, begin, "failing", true);
    CHECK (startDueTrial (trials, begin + 2 * trialInterval, without) == nullptr);
    CHECK (startDueTrial (trials, begin + 2 * trialInterval, with) == &failing);
    CHECK (startDueTrial (trials, begin + 2 * trialInterval + 2 * trialExpiry, with) == nullptr);
    CHECK (trials.empty());
}
