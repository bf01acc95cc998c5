#include "routing/configuration.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::routing;

namespace {

HostRoute route(const std::string& name, const std::string& host, const std::string& prefix) {
    HostRoute result;
    result.name = name;
    result.host = host;
    result.path_prefix = prefix;
    return result;
}

}  // namespace

TEST_CASE("the longest prefix of the request's host wins") {
    Configuration configuration;
    configuration.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/x/y/z/")};
    REQUIRE(configuration.find("a.example", "/x/y/z/1") != nullptr);
    CHECK(configuration.find("a.example", "/x/y/z/1")->name == "long");
    CHECK(configuration.find("A.Example", "/x/z")->name == "short");
    CHECK(configuration.find("b.example", "/x/y/z/1")->name == "other");
}

TEST_CASE("a prefix ends at a slash") {
    Configuration configuration;
    configuration.routes = {route("one", "a.example", "/x/")};
    CHECK(configuration.find("a.example", "/xy/") == nullptr);
    CHECK(configuration.find("a.example", "/x") == nullptr);
    CHECK(configuration.find("c.example", "/x/") == nullptr);
}

TEST_CASE("the query is no part of the path") {
    CHECK(path_of("/a/b?c=/d/") == "/a/b");
    CHECK(path_of("/a") == "/a");
}

TEST_CASE("only one rule forbids repeats") {
    CHECK(may_repeat(RepeatRule::kRepeatable));
    CHECK(may_repeat(RepeatRule::kLargeAnswer));
    CHECK_FALSE(may_repeat(RepeatRule::kAtMostOnce));
}
