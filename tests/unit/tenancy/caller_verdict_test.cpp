#include "tenancy/caller_verdict.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::tenancy;

namespace
{

const TimePoint start = TimePoint() + seconds (1'000);
const Duration bound = maxProofAge (milliseconds (5'000));

KeyRing ringOf (const std::string& firstHolder, const std::string& secondHolder)
{
    KeyRing ring;

    for (const auto& name : { firstHolder, secondHolder })
        ring.tenants[TenantName (name)] = { TenantName (name), 1, {} };

    ring.holders[ApiKey ("k1")] = TenantName (firstHolder);
    ring.holders[ApiKey ("k2")] = TenantName (secondHolder);
    return ring;
}

ConfigurationProof provenAt (TimePoint moment)
{
    ConfigurationProof freshness;
    recordProof (freshness, moment);
    return freshness;
}

Credentials withKey (const std::string& key)
{
    return { ApiKey (key), false };
}

} // namespace

TEST_CASE ("a request's key identifies its tenant and decides on its admission")
{
    const auto ring = ringOf ("blue", "green");
    const auto fresh = provenAt (start);
    const CallerRules keyed{ false, bound };
    const CallerRules open{ true, bound };

    CHECK (judgeCaller (ring, fresh, start, withKey ("k1"), keyed).tenant->name.value == "blue");
    CHECK (judgeCaller (ring, fresh, start, withKey ("k1"), keyed).admission == Admission::known);
    CHECK (judgeCaller (ring, fresh, start, withKey ("k3"), keyed).admission == Admission::unauthorized);
    CHECK (judgeCaller (ring, fresh, start, {}, keyed).admission == Admission::unauthorized);
    CHECK (judgeCaller (ring, fresh, start, {}, open).admission == Admission::anonymous);
    // A key is checked even on a route that needs none, and an unknown key is not ignored.
    CHECK (judgeCaller (ring, fresh, start, withKey ("k2"), open).tenant->name.value == "green");
    CHECK (judgeCaller (ring, fresh, start, withKey ("k3"), open).admission == Admission::unauthorized);
    CHECK (judgeCaller (ring, fresh, start, { std::nullopt, true }, open).admission ==
           Admission::unauthorized);
}

TEST_CASE ("after two tenants swap their keys, the configuration in force decides")
{
    const auto fresh = provenAt (start);
    const auto before = ringOf ("blue", "green");
    const auto after = ringOf ("green", "blue");
    CHECK (judgeCaller (before, fresh, start, withKey ("k1"), {}).tenant->name.value == "blue");
    CHECK (judgeCaller (after, fresh, start, withKey ("k1"), {}).tenant->name.value == "green");
}

TEST_CASE ("a key that no tenant holds is rejected")
{
    KeyRing ring;
    ring.tenants[TenantName ("blue")] = { TenantName ("blue"), 1, {} };
    CHECK (judgeCaller (ring, provenAt (start), start, withKey ("k1"), {}).admission ==
           Admission::unauthorized);
}

TEST_CASE ("a key is accepted only on a proof that is recent enough")
{
    const auto ring = ringOf ("blue", "green");
    const auto freshness = provenAt (start);
    const CallerRules rules{ false, bound };
    const auto at = [&] (milliseconds later, const std::string& key)
    { return judgeCaller (ring, freshness, start + later, withKey (key), rules).admission; };

    CHECK (at (milliseconds (4'700), "k1") == Admission::known);
    CHECK (at (milliseconds (4'800), "k1") == Admission::unproven);
    // An unknown key may be newer than this daemon's configuration.
    CHECK (at (milliseconds (1'900), "k3") == Admission::unauthorized);
    CHECK (at (milliseconds (2'100), "k3") == Admission::unproven);
    CHECK (judgeCaller (ring, {}, start, withKey ("k1"), rules).admission == Admission::unproven);
    // Requests without a key are not affected.
    CHECK (judgeCaller (ring, {}, start, {}, { true, bound }).admission == Admission::anonymous);
}

TEST_CASE ("a tenant's priority takes precedence over the route's")
{
    auto ring = ringOf ("blue", "green");
    ring.tenants[TenantName ("blue")].priority = 0;
    ring.tenants[TenantName ("red")] = { TenantName ("red"), 1, {} };
    setUsualPriority (ring);
    const auto* blue = termsOf (ring, TenantName ("blue"));
    const auto* green = termsOf (ring, TenantName ("green"));

    CHECK (rankOf (ring, blue, 2) < rankOf (ring, green, 0));
    CHECK (rankOf (ring, green, 0) < rankOf (ring, green, 1));
    // A call made by a server gets the most common tenant priority.
    CHECK (rankOf (ring, nullptr, 1) == rankOf (ring, green, 1));
    CHECK (rankOf ({}, nullptr, 2) == 2);
}
