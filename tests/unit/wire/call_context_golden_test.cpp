#include <catch2/catch.hpp>

#include "protocol/call_context.hpp"
#include "wire_samples.hpp"

using namespace anisehold;

namespace {

constexpr const char* kKey = "a-key-of-sixteen-characters";

CallContext full_context() {
    CallContext context;
    context.root_id = "0123456789abcdef0123456789abcdef";
    context.call_id = "fedcba9876543210";
    context.home = "daemon-1";
    context.priority = 3;
    context.retry_allowance = 2;
    context.depth = 4;
    context.dispatched_at_most_once = true;
    return context;
}

}  // namespace

TEST_CASE("a call context keeps its text and its authentication code", "[golden]") {
    CallContext least;
    // A context is only accepted with ids and a home.
    least.root_id = full_context().root_id;
    least.call_id = full_context().call_id;
    least.home = "d";
    golden::check_text("call-context.txt",
                       {{"every field set", encode_call_context(full_context(), kKey)},
                        {"defaults but for ids and home", encode_call_context(least, kKey)}},
                       [](const std::string& text) {
                           const auto context = decode_call_context(text, kKey);
                           return context ? encode_call_context(*context, kKey) : "not decoded";
                       });
}

TEST_CASE("the fields of a previously written call context are decoded", "[golden]") {
    const auto samples = golden::texts_in("call-context.txt");
    REQUIRE(samples.size() == 2);
    const auto context = decode_call_context(samples[0].bytes, kKey);
    REQUIRE(context);
    CHECK(context->root_id == full_context().root_id);
    CHECK(context->call_id == full_context().call_id);
    CHECK(context->home == "daemon-1");
    CHECK(context->priority == 3);
    CHECK(context->retry_allowance == 2);
    CHECK(context->depth == 4);
    CHECK(context->dispatched_at_most_once);
}

TEST_CASE("a gate request keeps its text and its authentication code", "[golden]") {
    const auto context = encode_call_context(full_context(), kKey);
    golden::check_text("gate-request.txt",
                       {{"every field set", encode_gate_request({"127.0.0.1:80", 17}, context, kKey)},
                        {"defaults", encode_gate_request({}, context, kKey)},
                        {"defaults, no context", encode_gate_request({}, "", kKey)}},
                       [&](const std::string& text) {
                           for (const auto& with : {context, std::string()}) {
                               if (const auto request = decode_gate_request(text, with, kKey)) {
                                   return encode_gate_request(*request, with, kKey);
                               }
                           }
                           return std::string("not decoded");
                       });
    const auto read = decode_gate_request(golden::texts_in("gate-request.txt").front().bytes, context, kKey);
    REQUIRE(read);
    CHECK(read->server == "127.0.0.1:80");
    CHECK(read->root_age_ms == 17);
}

TEST_CASE("a gate report keeps its text", "[golden]") {
    golden::check_text("gate-report.txt",
                       {{"every field set", encode_gate_report({1, "deep", true, false, 5, 6, 7, 800})},
                        {"leaving", encode_gate_report({2, "deeper", false, true, 8, 9, 10, 900})},
                        {"defaults", encode_gate_report({})}},
                       [](const std::string& text) {
                           const auto report = decode_gate_report(text);
                           return report ? encode_gate_report(*report) : "not decoded";
                       });
    const auto read = decode_gate_report(golden::texts_in("gate-report.txt").front().bytes);
    REQUIRE(read);
    CHECK(read->retries_used == 1);
    CHECK(read->overloaded_service == "deep");
    CHECK(read->nested_ran);
    CHECK_FALSE(read->leaving);
    CHECK(read->in_flight == 5);
    CHECK(read->queued == 6);
    CHECK(read->limit == 7);
    CHECK(read->retry_after_ms == 800);
}

TEST_CASE("the header lines that daemons define or read keep their names", "[golden]") {
    std::string names;
    for (const auto name :
         {header::kContext, header::kTimeout, header::kNotRun, header::kError, header::kExecution,
          header::kReplayed, header::kRetryAfter, header::kGate, header::kGateReport, header::kTraceParent,
          header::kIdempotencyKey, header::kRequestId}) {
        names += std::string(name) + '\n';
    }
    golden::check("header-names.txt", names);
    golden::check("trace-parent.txt",
                  make_trace_parent(full_context().root_id, full_context().call_id) + '\n');
}
