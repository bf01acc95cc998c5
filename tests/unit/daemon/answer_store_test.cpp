#include "daemon/answer_store.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::daemon;

namespace {

TimePoint at_ms(long long ms) {
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

}  // namespace

TEST_CASE("stored responses are bounded by age and size") {
    AnswerStore store(milliseconds(1'000));
    store.keep(at_ms(0), "a", {200, {}, "body"});
    CHECK(store.find("a")->body == "body");
    store.keep(at_ms(0), "large", {200, {}, std::string(AnswerStore::kMaxAnswerBytes, 'x')});
    CHECK_FALSE(store.find("large"));
    store.keep(at_ms(2'000), "b", {200, {}, ""});
    CHECK_FALSE(store.find("a"));
    for (int count = 0; count < 5'000; ++count) {
        store.keep(at_ms(2'000), std::to_string(count), {200, {}, std::string(10'000, 'x')});
    }
    CHECK(store.bytes() <= AnswerStore::kMaxTotalBytes);
}
