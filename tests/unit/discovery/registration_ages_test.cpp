#include "discovery/registration_ages.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::discovery;

namespace
{

const TimePoint start = TimePoint() + seconds (100);

} // namespace

TEST_CASE ("a registration that is refreshed never ages")
{
    RegistrationAges ages;

    for (unsigned i = 0; i < 10; ++i)
        CHECK (findAbandoned (ages, start + i * registrationPeriod, { { "a", 5 + i } }).empty());
}

TEST_CASE ("a registration without a refresh is abandoned after its lifetime, not before")
{
    RegistrationAges ages;
    CHECK (findAbandoned (ages, start, { { "a", 5 }, { "b", 6 } }).empty());
    CHECK (
        findAbandoned (ages, start + registrationLifetime - seconds (1), { { "a", 5 }, { "b", 7 } }).empty());

    const auto abandoned = findAbandoned (ages, start + registrationLifetime, { { "a", 5 }, { "b", 7 } });
    REQUIRE (abandoned.size() == 1);
    CHECK (abandoned.front().key == "a");
    CHECK (abandoned.front().revision == 5);
}

TEST_CASE ("an age starts when this process first sees a revision and ends with the key")
{
    RegistrationAges ages;
    findAbandoned (ages, start, { { "a", 5 } });
    findAbandoned (ages, start + seconds (10), {});
    CHECK (findAbandoned (ages, start + registrationLifetime, { { "a", 5 } }).empty());
}
