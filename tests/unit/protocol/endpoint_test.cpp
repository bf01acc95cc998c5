#include "protocol/endpoint.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;

TEST_CASE("endpoints are numeric addresses with a port") {
    CHECK(parse_endpoint("127.0.0.1:80") == Endpoint{"127.0.0.1", 80});
    CHECK(parse_endpoint("[::1]:8080") == Endpoint{"::1", 8080});
    CHECK(parse_endpoint("[::1]:8080")->text() == "[::1]:8080");
    for (const auto* bad : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:80x",
                            "::1:80", "[127.0.0.1]:80", "256.0.0.1:80"}) {
        CHECK_FALSE(parse_endpoint(bad));
    }
}
