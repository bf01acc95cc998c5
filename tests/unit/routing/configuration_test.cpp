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
    configuration.index_routes();
    REQUIRE(configuration.find("a.example", "/x/y/z/1") != nullptr);
    CHECK(configuration.find("a.example", "/x/y/z/1")->name == "long");
    CHECK(configuration.find("A.Example", "/x/z")->name == "short");
    CHECK(configuration.find("b.example", "/x/y/z/1")->name == "other");
}

TEST_CASE("a prefix ends with a slash") {
    Configuration configuration;
    configuration.routes = {route("one", "a.example", "/x/")};
    configuration.index_routes();
    CHECK(configuration.find("a.example", "/xy/") == nullptr);
    CHECK(configuration.find("a.example", "/x") == nullptr);
    CHECK(configuration.find("c.example", "/x/") == nullptr);
}

TEST_CASE("the lookup time does not grow with the number of routes") {
    Configuration configuration;
    for (int index = 0; index < 1'400; ++index) {
        const auto name = std::to_string(index);
        configuration.routes.push_back(route(name, "host" + name + ".example", "/a" + name + "/b/"));
    }
    configuration.index_routes();
    for (int index = 0; index < 1'400; ++index) {
        const auto name = std::to_string(index);
        const auto* found = configuration.find("host" + name + ".example", "/a" + name + "/b/c/d");
        REQUIRE(found != nullptr);
        CHECK(found->name == name);
    }
    CHECK(configuration.find("host1.example", "/a2/b/") == nullptr);
}

TEST_CASE("the query is not part of the path") {
    CHECK(path_of("/a/b?c=/d/") == "/a/b");
    CHECK(path_of("/a") == "/a");
}

TEST_CASE("only the at-most-once rule forbids retries") {
    CHECK(may_retry(RetryRule::kRetryable));
    CHECK(may_retry(RetryRule::kLargeAnswer));
    CHECK_FALSE(may_retry(RetryRule::kAtMostOnce));
}
