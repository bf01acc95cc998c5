#include "protocol/call_context.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;

namespace {

constexpr const char* kKey = "a-key-of-sixteen-characters";

CallContext sample_context() {
    CallContext context;
    context.root_id = "0123456789abcdef0123456789abcdef";
    context.call_id = "0123456789abcdef";
    context.home = "daemon-1";
    context.priority = 3;
    context.retry_allowance = 2;
    context.depth = 4;
    context.dispatched_at_most_once = true;
    return context;
}

}  // namespace

TEST_CASE("a call context survives encoding") {
    const auto decoded = decode_call_context(encode_call_context(sample_context(), kKey), kKey);
    REQUIRE(decoded);
    CHECK(decoded->root_id == sample_context().root_id);
    CHECK(decoded->call_id == sample_context().call_id);
    CHECK(decoded->home == "daemon-1");
    CHECK(decoded->priority == 3);
    CHECK(decoded->retry_allowance == 2);
    CHECK(decoded->depth == 4);
    CHECK(decoded->dispatched_at_most_once);
}

TEST_CASE("a forged or malformed call context is refused") {
    const auto value = encode_call_context(sample_context(), kKey);
    CHECK_FALSE(decode_call_context(value, "another-key-of-16-chars"));
    for (std::size_t place = 0; place < value.size(); ++place) {
        auto forged = value;
        forged[place] = forged[place] == '1' ? '2' : '1';
        CHECK_FALSE(decode_call_context(forged, kKey));
    }
    for (std::size_t length = 0; length < value.size(); ++length) {
        CHECK_FALSE(decode_call_context(value.substr(0, length), kKey));
    }
}

TEST_CASE("a context out of range is refused even with a valid code") {
    auto context = sample_context();
    context.depth = kMaxDepth + 1;
    CHECK_FALSE(decode_call_context(encode_call_context(context, kKey), kKey));
    context = sample_context();
    context.home = "";
    CHECK_FALSE(decode_call_context(encode_call_context(context, kKey), kKey));
}

TEST_CASE("a gate request is bound to its call context") {
    const auto context = encode_call_context(sample_context(), kKey);
    const auto value = encode_gate_request({"127.0.0.1:80", 17}, context, kKey);
    const auto decoded = decode_gate_request(value, context, kKey);
    REQUIRE(decoded);
    CHECK(decoded->server == "127.0.0.1:80");
    CHECK(decoded->root_age_ms == 17);
    CHECK_FALSE(decode_gate_request(value, context + "x", kKey));
    CHECK_FALSE(decode_gate_request("127.0.0.1:80,17;00", context, kKey));
}

TEST_CASE("a gate report survives encoding") {
    const auto decoded = decode_gate_report(encode_gate_report({1, "deep", false, true, 5, 6, 7, 800}));
    REQUIRE(decoded);
    CHECK(decoded->retries_used == 1);
    CHECK(decoded->overloaded_service == "deep");
    CHECK_FALSE(decoded->nested_ran);
    CHECK(decoded->leaving);
    CHECK(decoded->limit == 7);
    CHECK(decoded->retry_after_ms == 800);
    CHECK_FALSE(decode_gate_report("1;2;3"));
    CHECK_FALSE(decode_gate_report("a;b;c;d;e;f;g;h"));
}

TEST_CASE("trace ids are read from traceparent") {
    CHECK(trace_id_of("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01") ==
          "0af7651916cd43dd8448eb211c80319c");
    CHECK_FALSE(trace_id_of("00-00000000000000000000000000000000-b7ad6b7169203331-01"));
    CHECK_FALSE(trace_id_of("garbage"));
}
