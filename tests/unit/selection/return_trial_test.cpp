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

TEST_CASE ("a failed server gets one trial request a fixed time after its failure", "[selection]")
{
    const auto failing = server ("failing");
    const auto healthy = server ("sound");
    membership::ServiceView view;
    view.local = { &healthy };
    view.remote = { &failing };
    ReturnTrials trials;
    const TimePoint begin{};
    CHECK (startDueTrial (trials, begin, view) == nullptr);

    recordTrialResult (trials, begin, "failing", true);
    CHECK (startDueTrial (trials, begin + trialInterval - milliseconds (1), view) == nullptr);
    CHECK (startDueTrial (trials, begin + trialInterval, view) == &failing);
    // Only one trial is in flight at a time.
    CHECK (startDueTrial (trials, begin + trialInterval, view) == nullptr);

    SECTION ("a success ends the trials")
    {
        recordTrialResult (trials, begin + trialInterval, "failing", false);
        CHECK (startDueTrial (trials, begin + 10 * trialInterval, view) == nullptr);
    }

    SECTION ("a failure restarts the interval")
    {
        const auto failed = begin + trialInterval + milliseconds (500);
        recordTrialResult (trials, failed, "failing", true);
        CHECK (startDueTrial (trials, failed + trialInterval - milliseconds (1), view) == nullptr);
        CHECK (startDueTrial (trials, failed + trialInterval, view) == &failing);
    }

    SECTION ("a trial without a result is repeated")
    {
        CHECK (startDueTrial (trials, begin + 2 * trialInterval, view) == &failing);
    }
}

TEST_CASE ("an unreachable server gets its trial once it is known again, unless the trial has expired",
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
