#include "tenancy/configuration_proof.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace anisehold;
using namespace anisehold::tenancy;

namespace
{

const TimePoint start = TimePoint() + seconds (1'000);

} // namespace

TEST_CASE ("a proof counts from before its question was sent")
{
    ConfigurationProof state;
    CHECK_FALSE (proofAge (state, start));
    recordProof (state, start);
    // However late the answer is read, a proof is no younger than its question.
    CHECK (*proofAge (state, start + seconds (4)) == seconds (4));
    recordProof (state, start + seconds (2), milliseconds (700));
    CHECK (*proofAge (state, start + seconds (4)) == milliseconds (2'700));
}

TEST_CASE ("an older proof doesn't replace a younger one")
{
    ConfigurationProof state;
    recordProof (state, start + seconds (5));
    recordProof (state, start + seconds (1));
    recordProof (state, start + seconds (6), seconds (3));
    CHECK (*proofAge (state, start + seconds (6)) == seconds (1));
    // A peer's clock can't make a proof younger than its question.
    recordProof (state, start + seconds (6), seconds (-9));
    CHECK (*proofAge (state, start + seconds (6)) == Duration::zero());
}

TEST_CASE ("an age only grows on the way, whatever the delays and pauses")
{
    // Chains of daemons ask each other, with answers delayed at random and processes that pause. None may
    // believe a moment later than the store's own answer.
    std::mt19937 random (7);
    std::uniform_int_distribution<int> delayMs (0, 1'500);

    for (int round = 0; round < 200; ++round)
    {
        std::vector<ConfigurationProof> chain (6);
        auto now = start;
        const auto truth = now;
        recordProof (chain.front(), truth);
        now += milliseconds (delayMs (random));

        for (std::size_t i = 1; i < chain.size(); ++i)
        {
            const auto asked = now;
            now += milliseconds (delayMs (random)); // The question's way.
            const auto age = *proofAge (chain[i - 1], now);
            now += milliseconds (delayMs (random)); // The answer's way, and a pause of its reader.
            recordProof (chain[i], asked, age);
            REQUIRE (*chain[i].provenAt <= truth);
        }
    }
}

TEST_CASE ("a paused daemon finds its proof over when it wakes")
{
    ConfigurationProof state;
    recordProof (state, start);
    const auto bound = maxProofAge (milliseconds (5'000));
    CHECK (isProven (state, start + milliseconds (4'750), bound));
    CHECK_FALSE (isProven (state, start + milliseconds (4'751), bound));
    CHECK_FALSE (isProven (state, start + seconds (30), bound));
}
