#include "retry/server_refusal.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::retry;

TEST_CASE(
    "a refusal proves that a call was not begun only if it came early, within the deadline and without "
    "nested calls") {
    CHECK(proves_not_begun({false, milliseconds(0), false}));
    CHECK(proves_not_begun({false, kMaxImmediateRefusalTime, false}));
    CHECK_FALSE(proves_not_begun({false, kMaxImmediateRefusalTime + microseconds(1), false}));
    CHECK_FALSE(proves_not_begun({true, milliseconds(1), false}));
    CHECK_FALSE(proves_not_begun({false, milliseconds(1), true}));
}
