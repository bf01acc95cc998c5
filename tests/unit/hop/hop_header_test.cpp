#include "hop/hop_header.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::hop;

TEST_CASE("a hop request survives its encoding") {
    const HopRequest sent{"i-1", "orders", 2, milliseconds(1'250), milliseconds(250), true, 35, "route/2"};
    const auto received = decode_hop_request(encode(sent));
    REQUIRE(received);
    CHECK(received->instance == "i-1");
    CHECK(received->caller == "orders");
    CHECK(received->priority == 2);
    CHECK(received->remaining == milliseconds(1'250));
    CHECK(received->max_wait == milliseconds(250));
    CHECK(received->at_most_once);
    CHECK(received->retry_percent == 35);
    CHECK(received->row == "route/2");
}

TEST_CASE("a rate limit survives encoding and is omitted if there is none") {
    HopRequest request;
    HopResult result;
    CHECK(encode(request).find("rate") == std::string::npos);
    CHECK(encode(result).find("rate") == std::string::npos);
    CHECK_FALSE(decode_hop_request(encode(request))->rate_limit);
    for (const std::uint32_t rate : {0U, 11'500U}) {
        request.rate_limit = RequestRate(rate);
        result.rate_limit = RequestRate(rate);
        CHECK(decode_hop_request(encode(request))->rate_limit == RequestRate(rate));
        CHECK(decode_hop_result(encode(result))->rate_limit == RequestRate(rate));
    }
    CHECK_FALSE(decode_hop_result(encode(result) + ";rate_limit=many"));
}

TEST_CASE("a leaving server's flag survives encoding and is omitted otherwise") {
    HopResult result;
    CHECK(encode(result).find("leaves") == std::string::npos);
    CHECK_FALSE(decode_hop_result(encode(result))->server_leaves);
    result.server_leaves = true;
    CHECK(decode_hop_result(encode(result))->server_leaves);
}

TEST_CASE("a row that would break its header line is omitted") {
    HopRequest sent;
    for (const auto* row : {"a;once=1", "a\r\nX: y"}) {
        sent.row = row;
        const auto received = decode_hop_request(encode(sent));
        REQUIRE(received);
        CHECK(received->row.empty());
        CHECK_FALSE(received->at_most_once);
    }
}

TEST_CASE("the origin of a request survives encoding and is omitted if it is unknown") {
    HopRequest sent;
    for (const auto* name : {"root", "made"}) {
        CHECK(encode(sent).find(name) == std::string::npos);
    }
    CHECK_FALSE(decode_hop_request(encode(sent))->root_priority);
    sent.root_row = "check/17";
    sent.root_priority = 0;
    sent.made = 3;
    const auto received = decode_hop_request(encode(sent));
    REQUIRE(received);
    CHECK(received->root_row == "check/17");
    CHECK(received->root_priority == 0U);
    CHECK(received->made == 3);
    CHECK_FALSE(decode_hop_request(encode(HopRequest{}) + ";root_priority=high"));
    CHECK_FALSE(decode_hop_request(encode(HopRequest{}) + ";made=-1"));
}

TEST_CASE("a root row that would break its header line is omitted") {
    HopRequest sent;
    sent.root_priority = 17;
    for (const auto* row : {"a;once=1", "a\r\nX: y"}) {
        sent.root_row = row;
        const auto received = decode_hop_request(encode(sent));
        REQUIRE(received);
        CHECK(received->root_row.empty());
        CHECK(received->root_priority == 17U);
        CHECK_FALSE(received->at_most_once);
    }
}

TEST_CASE("every outcome survives its encoding") {
    for (const auto outcome :
         {HopOutcome::kAnswered, HopOutcome::kNotSent, HopOutcome::kRefusedByServer, HopOutcome::kUnknown}) {
        HopResult sent;
        sent.outcome = outcome;
        sent.error = ErrorKind::kOverloaded;
        sent.retry_after = milliseconds(40);
        sent.instance = "i-1";
        sent.in_flight = 3;
        sent.overloaded_service = "stock";
        const auto received = decode_hop_result(encode(sent));
        REQUIRE(received);
        CHECK(received->outcome == outcome);
        CHECK(received->error == ErrorKind::kOverloaded);
        CHECK(received->retry_after == milliseconds(40));
        CHECK(received->in_flight == 3);
        CHECK(received->overloaded_service == "stock");
    }
}

TEST_CASE("malformed hop headers are refused") {
    CHECK_FALSE(decode_hop_request(""));
    CHECK_FALSE(decode_hop_request("instance=a;caller=b;priority=x;remaining_ms=1;longest_wait_ms=1;once=0"));
    CHECK_FALSE(
        decode_hop_request("instance=a;caller=b;priority=1;remaining_ms=-1;longest_wait_ms=1;once=0"));
    CHECK_FALSE(decode_hop_result("outcome=answered"));
    auto text = encode(HopResult{});
    CHECK(decode_hop_result(text));
    text.replace(text.find("unknown"), 7, "perhaps");
    CHECK_FALSE(decode_hop_result(text));
}
