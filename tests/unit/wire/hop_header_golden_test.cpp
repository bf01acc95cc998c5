#include <catch2/catch.hpp>

#include "hop/hop_header.hpp"
#include "wire_samples.hpp"

using namespace anisehold;
using namespace anisehold::hop;

namespace {

HopResult full_result(HopOutcome outcome) {
    HopResult result;
    result.outcome = outcome;
    result.error = ErrorKind::kQueueTimeout;
    result.retry_after = milliseconds(41);
    result.instance = "i-2";
    result.in_flight = 3;
    result.queued = 4;
    result.limit = 5;
    result.latency_us = 6'007;
    result.failed_percent = 8;
    result.crashes = 2;
    result.overloaded_service = "stock";
    return result;
}

}  // namespace

TEST_CASE("the header line of a request between daemons keeps its text", "[golden]") {
    const HopRequest full{"i-1", "orders", 2, milliseconds(1'250), milliseconds(251), true, 35, "route/2", 3};
    HopRequest call = full;
    call.root_row = "check/17";
    call.root_priority = 17;
    call.made = 3;
    golden::check_text("hop-request.txt",
                       {{"every field set", encode(full)},
                        {"defaults", encode(HopRequest{})},
                        {"a call of known root", encode(call)}},
                       [](const std::string& text) {
                           const auto request = decode_hop_request(text);
                           return request ? encode(*request) : "not decoded";
                       });
}

TEST_CASE("the header line of an answer between daemons keeps its text", "[golden]") {
    std::vector<golden::Sample> samples;
    for (const auto outcome :
         {HopOutcome::kAnswered, HopOutcome::kNotSent, HopOutcome::kRefusedByServer, HopOutcome::kUnknown}) {
        samples.push_back(
            {"every field set, " + std::string(outcome_name(outcome)), encode(full_result(outcome))});
    }
    samples.push_back({"defaults", encode(HopResult{})});
    HopResult slow;
    slow.slow_percent = 250;
    samples.push_back({"a slow server", encode(slow)});
    golden::check_text("hop-result.txt", samples, [](const std::string& text) {
        const auto result = decode_hop_result(text);
        return result ? encode(*result) : "not decoded";
    });
}

TEST_CASE("the fields for retries that gates grant keep their text", "[golden]") {
    HopRequest retry{"i-1", "orders", 2, milliseconds(1'250), milliseconds(251), true, 100, "route/2"};
    retry.is_retry = true;
    auto declining = full_result(HopOutcome::kRefusedByServer);
    declining.declined_percent = 55;
    golden::check_text("hop-gate-retries.txt", {{"retry", encode(retry)}, {"declining", encode(declining)}},
                       [](const std::string& text) {
                           const auto request = decode_hop_request(text);
                           const auto result = decode_hop_result(text);
                           return request ? encode(*request) : result ? encode(*result) : "not decoded";
                       });
    const auto samples = golden::texts_in("hop-gate-retries.txt");
    REQUIRE(samples.size() == 2);
    CHECK(decode_hop_request(samples[0].bytes)->is_retry);
    CHECK(decode_hop_result(samples[1].bytes)->declined_percent == 55);
    CHECK_FALSE(decode_hop_request(encode(HopRequest{}))->is_retry);
}

TEST_CASE("the fields of a previously written hop result are decoded", "[golden]") {
    const auto samples = golden::texts_in("hop-result.txt");
    REQUIRE(samples.size() == 6);
    CHECK(decode_hop_result(samples[1].bytes)->slow_percent == 100);
    CHECK(decode_hop_result(samples[5].bytes)->slow_percent == 250);
    const auto result = decode_hop_result(samples[1].bytes);
    REQUIRE(result);
    CHECK(result->outcome == HopOutcome::kNotSent);
    CHECK(result->error == ErrorKind::kQueueTimeout);
    CHECK(result->retry_after == milliseconds(41));
    CHECK(result->instance == "i-2");
    CHECK(result->in_flight == 3);
    CHECK(result->queued == 4);
    CHECK(result->limit == 5);
    CHECK(result->latency_us == 6'007);
    CHECK(result->failed_percent == 8);
    CHECK(result->crashes == 2);
    CHECK(result->overloaded_service == "stock");
}

TEST_CASE("the fields of a previously written hop request are decoded", "[golden]") {
    const auto samples = golden::texts_in("hop-request.txt");
    REQUIRE(samples.size() == 3);
    const auto request = decode_hop_request(samples[0].bytes);
    REQUIRE(request);
    CHECK(request->instance == "i-1");
    CHECK(request->caller == "orders");
    CHECK(request->priority == 2);
    CHECK(request->remaining == milliseconds(1'250));
    CHECK(request->max_wait == milliseconds(251));
    CHECK(request->at_most_once);
    CHECK(request->retry_percent == 35);
    CHECK(request->row == "route/2");
    CHECK(request->crashes == 3);
    CHECK(request->root_row.empty());
    const auto call = decode_hop_request(samples[2].bytes);
    REQUIRE(call);
    CHECK(call->root_row == "check/17");
    CHECK(call->root_priority == 17U);
    CHECK(call->made == 3);
}

TEST_CASE("every error kind keeps its name on the wire", "[golden]") {
    std::vector<golden::Sample> samples;
    for (const auto& answer : error_answers()) {
        HopResult result;
        result.error = answer.kind;
        samples.push_back({std::to_string(static_cast<int>(answer.kind)), encode(result)});
    }
    golden::check_text("hop-result-errors.txt", samples, [](const std::string& text) {
        const auto result = decode_hop_result(text);
        return result ? encode(*result) : "not decoded";
    });
}

TEST_CASE("the header lines between daemons keep their names", "[golden]") {
    golden::check("hop-header-names.txt",
                  std::string(kRequestHeader) + '\n' + std::string(kResultHeader) + '\n');
}
