#include "discovery/missing_registrations.hpp"

#include <catch2/catch.hpp>

using namespace anisehold::discovery;

TEST_CASE ("a registration is missing if two consecutive listings lack it")
{
    MissingRegistrations state;
    CHECK (findMissing (state, { "a" }, { "a", "b" }).empty());
    CHECK (findMissing (state, { "a" }, { "a", "b" }) == std::vector<std::string>{ "b" });
    CHECK (findMissing (state, { "a", "b" }, { "a", "b" }).empty());
    CHECK (findMissing (state, { "a" }, { "a", "b" }).empty());
}

TEST_CASE ("the registration of an unreachable member isn't restored")
{
    MissingRegistrations state;
    CHECK (findMissing (state, {}, { "a", "b" }).empty());
    CHECK (findMissing (state, {}, { "a" }) == std::vector<std::string>{ "a" });
}
