#include <catch2/catch.hpp>

#include "net/http_types.hpp"

using namespace anisehold::net;

TEST_CASE("checking a cancel signal detects that the caller has disconnected") {
    CancelSignal signal;
    CHECK_FALSE(signal.check());
    bool has_gone = false;
    int told = 0;
    signal.set_probe([&] { return has_gone; });
    signal.on_cancel([&] { ++told; });
    CHECK_FALSE(signal.check());
    has_gone = true;
    CHECK_FALSE(signal.cancelled());
    CHECK(signal.check());
    CHECK(signal.cancelled());
    CHECK(signal.check());
    CHECK(told == 1);
}
