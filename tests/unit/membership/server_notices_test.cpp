#include "membership/server_notices.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::membership;

namespace {

const TimePoint kNow = TimePoint() + seconds(1'000);

ServerRecord server(const std::string& instance, std::uint64_t start_time = 0) {
    ServerRecord record;
    record.instance = instance;
    record.start_time = start_time;
    return record;
}

}  // namespace

TEST_CASE("a server's rate is known until it answers without one") {
    ServerNotices notices;
    CHECK_FALSE(notices.rate_of(server("a")));
    notices.on_rate(kNow, server("a", 5), RequestRate(11'500));
    CHECK(notices.rate_of(server("a", 5)) == RequestRate(11'500));
    CHECK(notices.rate_of(server("a")) == RequestRate(11'500));
    CHECK_FALSE(notices.rate_of(server("b", 5)));
    notices.on_rate(kNow, server("a", 5), std::nullopt);
    CHECK_FALSE(notices.rate_of(server("a", 5)));
}

TEST_CASE("a new start of a server begins without a rate") {
    ServerNotices notices;
    notices.on_rate(kNow, server("a", 5), RequestRate(11'500));
    CHECK_FALSE(notices.rate_of(server("a", 6)));
}

TEST_CASE("notices expire") {
    ServerNotices notices;
    notices.on_rate(kNow, server("a"), RequestRate(1));
    notices.expire(kNow + seconds(599));
    CHECK(notices.rate_of(server("a")));
    notices.expire(kNow + seconds(601));
    CHECK_FALSE(notices.rate_of(server("a")));
}

TEST_CASE("a leaving notice is final for its start and doesn't apply to the next start") {
    ServerNotices notices;
    CHECK_FALSE(notices.has_leaving());
    notices.on_leaving(kNow, server("a", 5));
    CHECK(notices.has_leaving());
    CHECK(notices.is_leaving(server("a", 5)));
    CHECK(notices.is_leaving(server("a", 4)));
    CHECK(notices.is_leaving(server("a")));
    CHECK_FALSE(notices.is_leaving(server("a", 6)));
    CHECK_FALSE(notices.is_leaving(server("b", 5)));
    notices.expire(kNow + seconds(601));
    CHECK_FALSE(notices.is_leaving(server("a", 5)));
}

TEST_CASE("a leaving notice without a start time applies to the first start queried") {
    ServerNotices notices;
    notices.on_leaving(kNow, server("a"));
    CHECK(notices.is_leaving(server("a")));
    CHECK(notices.is_leaving(server("a", 5)));
    CHECK_FALSE(notices.is_leaving(server("a", 6)));
}
