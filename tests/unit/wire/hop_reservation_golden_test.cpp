#include <catch2/catch.hpp>

#include "hop/hop_header.hpp"
#include "wire_samples.hpp"

using namespace anisehold;
using namespace anisehold::hop;

namespace {

HopRequest sample_request() {
    return {"i-1", "orders", 2, milliseconds(1'250), milliseconds(251), true, 35, "route/2", 3};
}

HopResult sample_result(HopOutcome outcome) {
    HopResult result;
    result.outcome = outcome;
    result.instance = "i-2";
    result.in_flight = 3;
    result.queued = 4;
    result.limit = 5;
    return result;
}

}  // namespace

/// Guards against a change of the fields that daemons of one fleet exchange about reservations.
TEST_CASE("the header line of a message about a reservation keeps its text", "[golden]") {
    auto asks = sample_request();
    asks.reserve = true;
    auto renews = asks;
    renews.ticket = 0xfedcba9876543210;
    auto commits = sample_request();
    commits.grant = 0xfedcba9876543210;
    auto withdraws = sample_request();
    withdraws.withdraw = 0xfedcba9876543210;
    golden::check_text("hop-reservation-request.txt",
                       {{"asks for a slot", encode(asks)},
                        {"renews its place", encode(renews)},
                        {"request with a grant", encode(commits)},
                        {"gives a grant back", encode(withdraws)}},
                       [](const std::string& text) {
                           const auto request = decode_hop_request(text);
                           return request ? encode(*request) : "not decoded";
                       });
}

TEST_CASE("the header line of a reply to a reservation keeps its text", "[golden]") {
    auto granted = sample_result(HopOutcome::kGranted);
    granted.grant = 0xfedcba9876543210;
    granted.grant_time = milliseconds(100);
    auto waiting = sample_result(HopOutcome::kWaiting);
    waiting.ticket = 0xfedcba9876543210;
    golden::check_text("hop-reservation-result.txt",
                       {{"granted", encode(granted)},
                        {"granted without a number", encode(sample_result(HopOutcome::kGranted))},
                        {"waiting", encode(waiting)}},
                       [](const std::string& text) {
                           const auto result = decode_hop_result(text);
                           return result ? encode(*result) : "not decoded";
                       });
}

TEST_CASE("the fields of a previously written reservation are decoded", "[golden]") {
    const auto requests = golden::texts_in("hop-reservation-request.txt");
    REQUIRE(requests.size() == 4);
    CHECK(decode_hop_request(requests[0].bytes)->reserve);
    CHECK(decode_hop_request(requests[1].bytes)->ticket == 0xfedcba9876543210);
    CHECK(decode_hop_request(requests[2].bytes)->grant == 0xfedcba9876543210);
    CHECK(decode_hop_request(requests[3].bytes)->withdraw == 0xfedcba9876543210);
    const auto results = golden::texts_in("hop-reservation-result.txt");
    REQUIRE(results.size() == 3);
    CHECK(decode_hop_result(results[0].bytes)->outcome == HopOutcome::kGranted);
    CHECK(decode_hop_result(results[0].bytes)->grant_time == milliseconds(100));
    CHECK(decode_hop_result(results[2].bytes)->ticket == 0xfedcba9876543210);
}
