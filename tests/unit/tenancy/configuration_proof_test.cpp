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

TEST_CASE ("a proof's age counts from before its request was sent")
{
    ConfigurationProof state;
    CHECK_FALSE (proofAge (state, start));
    recordProof (state, start);
    // However late the reply is read, a proof is no younger than its request.
    CHECK (*proofAge (state, start + seconds (4)) == seconds (4));
    recordProof (state, start + seconds (2), milliseconds (700));
    CHECK (*proofAge (state, start + seconds (4)) == milliseconds (2'700));
}

TEST_CASE ("an older proof does not replace a younger one")
{
    ConfigurationProof state;
    recordProof (state, start + seconds (5));
    recordProof (state, start + seconds (1));
    recordProof (state, start + seconds (6), seconds (3));
    CHECK (*proofAge (state, start + seconds (6)) == seconds (1));
    // A peer's clock cannot make a proof younger than its request.
    recordProof (state, start + seconds (6), seconds (-9));
    CHECK (*proofAge (state, start + seconds (6)) == Duration::zero());
}

TEST_CASE ("a proof's age never shrinks when passed on, with any delays and pauses")
{
    // Chains of daemons ask each other, with replies delayed at random and processes that pause. No daemon
    // may derive a time later than the store's own reply.
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
            const auto requested = now;
            now += milliseconds (delayMs (random)); // Request in transit.
            const auto age = *proofAge (chain[i - 1], now);
            now += milliseconds (delayMs (random)); // Reply in transit, and a pause of its reader.
            recordProof (chain[i], requested, age);
            REQUIRE (*chain[i].provenAt <= truth);
        }
    }
}

TEST_CASE ("a paused daemon finds its proof expired when it resumes")
{
    ConfigurationProof state;
    recordProof (state, start);
    const auto bound = maxProofAge (milliseconds (5'000));
    CHECK (isProven (state, start + milliseconds (4'750), bound));
    CHECK_FALSE (isProven (state, start + milliseconds (4'751), bound));
    CHECK_FALSE (isProven (state, start + seconds (30), bound));
}
