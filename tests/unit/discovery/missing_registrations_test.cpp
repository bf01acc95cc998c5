#include "discovery/missing_registrations.hpp"

#include <catch2/catch.hpp>

using namespace anisehold::discovery;

TEST_CASE ("a registration is missing when two listings in a row lack it")
{
    MissingRegistrations state;
    CHECK (takeListing (state, { "a" }, { "a", "b" }).empty());
    CHECK (takeListing (state, { "a" }, { "a", "b" }) == std::vector<std::string>{ "b" });
    CHECK (takeListing (state, { "a", "b" }, { "a", "b" }).empty());
    CHECK (takeListing (state, { "a" }, { "a", "b" }).empty());
}

TEST_CASE ("a member that is no longer heard isn't written in its place")
{
    MissingRegistrations state;
    CHECK (takeListing (state, {}, { "a", "b" }).empty());
    CHECK (takeListing (state, {}, { "a" }) == std::vector<std::string>{ "a" });
}
