#include "protocol/request_digest.hpp"

#include <catch2/catch.hpp>
#include <unordered_set>

using namespace anisehold;

namespace {

const RequestTraits kRequest{"GET", "shop.example", "/read/2f", "body"};

}  // namespace

TEST_CASE("a request's digest is reproducible", "[digest]") {
    CHECK(digest_of(kRequest) == digest_of(kRequest));
}

TEST_CASE("each trait changes the digest, and adjacent parts are delimited", "[digest]") {
    std::unordered_set<RequestDigest> digests{digest_of(kRequest)};
    digests.insert(digest_of({"PUT", "shop.example", "/read/2f", "body"}));
    digests.insert(digest_of({"GET", "other.example", "/read/2f", "body"}));
    digests.insert(digest_of({"GET", "shop.example", "/read/30", "body"}));
    digests.insert(digest_of({"GET", "shop.example", "/read/2f", "other"}));
    digests.insert(digest_of({"GET", "shop.example/", "read/2f", "body"}));
    digests.insert(digest_of({"GETshop.example", "", "/read/2f", "body"}));
    digests.insert(digest_of({"GET", "shop.example", "/read/2fbody", ""}));
    CHECK(digests.size() == 8);
}

TEST_CASE("a digest's text parses, and malformed texts are rejected", "[digest]") {
    const RequestDigest digest{0x1234, 0xfedcba9876543210};
    CHECK(digest.text() == "0000000000001234fedcba9876543210");
    CHECK(parse_request_digest(digest.text()) == digest);
    CHECK_FALSE(parse_request_digest(""));
    CHECK_FALSE(parse_request_digest(digest.text() + "0"));
    CHECK_FALSE(parse_request_digest("0000000000001234fedcba987654321g"));
    CHECK_FALSE(parse_request_digest("000000000000123 fedcba9876543210"));
    CHECK_FALSE(parse_request_digest("+000000000001234fedcba9876543210"));
}
